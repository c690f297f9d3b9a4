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

/** Resolves the outcome of a request whose answer was lost, by means of the ledger. */
internal class OutcomeResolver(
    private val context: ServiceContext,
    private val dispatcher: PrimaryDispatcher,
    private val budget: RetryBudget
) {
    /**
     * Resolves the outcome of [requestId]. An id that is missing from the ledger is cancelled
     * there: the first attempt may still be in flight, so "not found" alone proves nothing.
     */
    suspend fun resolve(
        requestId: RequestId,
        deadline: ComparableTimeMark
    ): Either<Refusal, WriteResult> {
        var failedAt: ComparableTimeMark? = null
        while (deadline.hasNotPassedNow()) {
            val primary = dispatcher.awaitPrimary(deadline, failedAt) ?: break
            val command = Command.Cancel(primary.end.term, requestId)
            val result =
                dispatcher.dispatch(primary, command, deadline.attemptDeadline(context.time))
            if (result is DispatchResult.Answered) {
                confirm(primary.primary, result.answer, requestId, deadline)?.let { return it }
            }
            failedAt = context.time.markNow()
            if (!budget.withdraw(deadline)) break
        }
        return unknown("request $requestId: no majority told its outcome in time").left()
    }

    /**
     * Returns the outcome given by the ledger state of [answer], once a majority holds the log up
     * to it. Returns null if a newer term begins or the deadline passes first: the ledger state of
     * a log that is not on a majority proves nothing.
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

    /** Waits until a majority holds [point]. Returns false on timeout or if a newer term begins. */
    suspend fun awaitMajority(point: LogPoint, deadline: ComparableTimeMark): Boolean =
        context.awaitEvidence(deadline) {
            when {
                context.evidence.isOnMajority(point) -> true
                isSuperseded(point) -> false
                else -> null
            }
        } ?: false

    private fun isSuperseded(point: LogPoint) =
        (context.evidence.newestCertificate()?.end?.term ?: 0) > point.term

    private fun unknown(detail: String) =
        Refusal(ResultCode.OUTCOME_UNKNOWN, detail, RETRY_AFTER_MS)
}
