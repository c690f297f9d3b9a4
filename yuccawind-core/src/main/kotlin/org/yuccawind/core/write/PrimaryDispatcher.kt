package org.yuccawind.core.write

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import org.yuccawind.core.evidence.Certificate
import org.yuccawind.core.pool.PoolError
import org.yuccawind.core.port.BackendError
import org.yuccawind.core.port.Command
import org.yuccawind.core.result.Refusal
import org.yuccawind.core.result.ResultCode
import org.yuccawind.core.service.ServiceContext

private val EVIDENCE_AGE = 1_000.milliseconds
private const val RETRY_AFTER_MS = 500L

/** Finds the primary of one service and sends it commands. */
internal class PrimaryDispatcher(private val context: ServiceContext) {
    /**
     * The primary that a majority stands behind, or null at [deadline]. After a failed command
     * only evidence gathered since [failedAt] counts, so that a dead primary is not asked again.
     */
    suspend fun awaitPrimary(
        deadline: ComparableTimeMark,
        failedAt: ComparableTimeMark? = null
    ): Certificate? = context.awaitEvidence(deadline) {
        context.evidence.newestCertificate()?.takeIf { isUsable(it, failedAt) }
    }

    /** Sends [command] to [primary] and classes the answer by whether it can have run. */
    suspend fun dispatch(
        primary: Certificate,
        command: Command,
        deadline: ComparableTimeMark
    ): Attempt {
        val pool = context.pools[primary.primary] ?: return notRun("${primary.primary} is gone")
        context.log.record(
            "write_route",
            "service" to context.config.name,
            "server" to primary.primary,
            "term" to primary.end.term,
            "command" to command::class.simpleName
        )
        return pool.execute(command, deadline).fold(::failed, Attempt::Answered)
    }

    private fun isUsable(certificate: Certificate, failedAt: ComparableTimeMark?) =
        certificate.since.elapsedNow() < EVIDENCE_AGE &&
            context.gate.admits(certificate.primary) &&
            (failedAt == null || certificate.since > failedAt)

    private fun failed(error: PoolError): Attempt = when (error) {
        is PoolError.Refused -> refused(error.refusal)

        is PoolError.Backend -> when (val cause = error.error) {
            is BackendError.Lost -> Attempt.Unknown(cause.detail)

            is BackendError.Failed ->
                Attempt.Refused(Refusal(ResultCode.STATEMENT_FAILED, cause.detail))

            is BackendError.NotSent,
            is BackendError.NotPrimary,
            is BackendError.NoConnection
            -> notRun(cause.detail)
        }
    }

    /** An overloaded queue is not asked again: the retry would add to the overload. */
    private fun refused(refusal: Refusal) = if (refusal.code == ResultCode.OVERLOADED) {
        Attempt.Refused(refusal)
    } else {
        Attempt.NotRun(refusal)
    }

    private fun notRun(detail: String) =
        Attempt.NotRun(Refusal(ResultCode.NO_PRIMARY, detail, RETRY_AFTER_MS))
}
