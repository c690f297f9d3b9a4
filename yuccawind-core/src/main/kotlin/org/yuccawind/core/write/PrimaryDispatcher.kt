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

private val MAX_EVIDENCE_AGE = 1_000.milliseconds
private const val RETRY_AFTER_MS = 500L

/** Finds the primary of one service and sends it commands. */
internal class PrimaryDispatcher(private val context: ServiceContext) {
    /**
     * Waits for a primary that a majority confirms; returns null at [deadline]. After a failed
     * command only evidence from after [failedAt] is used, so that a failed primary is not retried.
     */
    suspend fun awaitPrimary(
        deadline: ComparableTimeMark,
        failedAt: ComparableTimeMark? = null
    ): Certificate? = context.awaitEvidence(deadline) {
        context.evidence.newestCertificate()?.takeIf { isUsable(it, failedAt) }
    }

    /** Sends [command] to [primary] and classifies the result by whether it may have run. */
    suspend fun dispatch(
        primary: Certificate,
        command: Command,
        deadline: ComparableTimeMark
    ): DispatchResult {
        val pool = context.pools[primary.primary] ?: return notRun("${primary.primary} is gone")
        context.log.record(
            "write_route",
            "service" to context.config.name,
            "server" to primary.primary,
            "term" to primary.end.term,
            "command" to command::class.simpleName
        )
        return pool.execute(command, deadline).fold(::classify, DispatchResult::Answered)
    }

    private fun isUsable(certificate: Certificate, failedAt: ComparableTimeMark?) =
        certificate.since.elapsedNow() < MAX_EVIDENCE_AGE &&
            context.gate.admits(certificate.primary) &&
            (failedAt == null || certificate.since > failedAt)

    private fun classify(error: PoolError): DispatchResult = when (error) {
        is PoolError.Refused -> refused(error.refusal)

        is PoolError.Backend -> when (val cause = error.error) {
            is BackendError.Lost -> DispatchResult.Unknown(cause.detail)

            is BackendError.Failed ->
                DispatchResult.Refused(Refusal(ResultCode.STATEMENT_FAILED, cause.detail))

            is BackendError.NotSent,
            is BackendError.NotPrimary,
            is BackendError.NoConnection
            -> notRun(cause.detail)
        }
    }

    /** An overload is not retried, because retries would add to it. */
    private fun refused(refusal: Refusal) = if (refusal.code == ResultCode.OVERLOADED) {
        DispatchResult.Refused(refusal)
    } else {
        DispatchResult.NotRun(refusal)
    }

    private fun notRun(detail: String) =
        DispatchResult.NotRun(Refusal(ResultCode.NO_PRIMARY, detail, RETRY_AFTER_MS))
}
