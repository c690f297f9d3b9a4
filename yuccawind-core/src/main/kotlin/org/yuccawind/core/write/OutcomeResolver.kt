package org.yuccawind.core.write

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.ComparableTimeMark
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.RequestId
import org.yuccawind.core.port.Answer
import org.yuccawind.core.port.Command
import org.yuccawind.core.port.LedgerState
import org.yuccawind.core.result.Refusal
import org.yuccawind.core.result.ResultCode
import org.yuccawind.core.service.ServiceContext

private const val RETRY_AFTER_MS = 500L

/** Finds out through the ledger what became of a request whose answer was lost. */
internal class OutcomeResolver(
    private val context: ServiceContext,
    private val dispatcher: PrimaryDispatcher,
    private val budget: RetryBudget
) {
    /**
     * Tells what became of [requestId]. An id that the ledger lacks is cancelled in it: the first
     * try may still be on its way, so "not found" alone proves nothing.
     */
    suspend fun resolve(
        requestId: RequestId,
        deadline: ComparableTimeMark
    ): Either<Refusal, WriteResult> {
        var failedAt: ComparableTimeMark? = null
        while (deadline.hasNotPassedNow()) {
            val primary = dispatcher.awaitPrimary(deadline, failedAt) ?: break
            val command = Command.Cancel(primary.end.term, requestId)
            val attempt = dispatcher.dispatch(primary, command, deadline.half(context.time))
            if (attempt is Attempt.Answered) {
                confirm(primary.primary, attempt.answer, requestId, deadline)?.let { return it }
            }
            failedAt = context.time.markNow()
            if (!budget.withdraw(deadline)) break
        }
        return unknown("request $requestId: no majority told its outcome in time").left()
    }

    /**
     * What the ledger row in [answer] says, once a majority holds the log up to it; null when the
     * term has moved on or the deadline has passed, and the row proves nothing.
     */
    suspend fun confirm(
        server: BackendServerName,
        answer: Answer,
        requestId: RequestId,
        deadline: ComparableTimeMark
    ): Either<Refusal, WriteResult>? {
        if (!awaitMajority(answer.end, deadline)) return null
        return when (answer.ledger) {
            LedgerState.RAN ->
                WriteResult(ResultCode.ALREADY_RAN, answer.rows, server, answer.end).right()

            LedgerState.NEW, LedgerState.CANCELLED ->
                Refusal(ResultCode.CANCELLED, "request $requestId did not run").left()
        }
    }

    /** Waits until [point] is on a majority; false at the deadline or once the term has moved. */
    suspend fun awaitMajority(point: LogPoint, deadline: ComparableTimeMark): Boolean =
        context.awaitEvidence(deadline) {
            when {
                context.evidence.isOnMajority(point) -> true
                isOvertaken(point) -> false
                else -> null
            }
        } ?: false

    private fun isOvertaken(point: LogPoint) =
        (context.evidence.newestCertificate()?.end?.term ?: 0) > point.term

    private fun unknown(detail: String) =
        Refusal(ResultCode.OUTCOME_UNKNOWN, detail, RETRY_AFTER_MS)
}
