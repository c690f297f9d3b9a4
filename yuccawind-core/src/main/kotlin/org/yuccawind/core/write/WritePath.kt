package org.yuccawind.core.write

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.ComparableTimeMark
import org.yuccawind.core.config.Acknowledge
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

/**
 * Runs the writes of one service. A write is acknowledged once it is durable: on a majority, or on
 * the primary alone if the service is configured so. It is retried under the same ledger key, and
 * resolved by means of the ledger when its outcome is unknown.
 */
class WritePath(private val context: ServiceContext) {
    private val budget = RetryBudget(context.time)
    private val dispatcher = PrimaryDispatcher(context)
    private val outcomes = OutcomeResolver(context, dispatcher, budget)

    /** Runs the write. The code of a refusal indicates whether the request may have run. */
    suspend fun write(request: WriteRequest): Either<Refusal, WriteResult> {
        val dispatchDeadline = request.deadline.dispatchDeadline(context.time)
        var refusal = noPrimary()
        var mayHaveRun = request.isRetry
        var failedAt: ComparableTimeMark? = null
        budget.deposit()
        while (true) {
            val primary = dispatcher.awaitPrimary(dispatchDeadline, failedAt) ?: break
            val command = Command.Apply(primary.end.term, request.statements, request.requestId)
            val limit = dispatchDeadline.attemptDeadline(context.time)
            when (val result = dispatcher.dispatch(primary, command, limit)) {
                is DispatchResult.Answered ->
                    return acknowledgeWrite(primary.primary, result.answer, request)

                is DispatchResult.Refused ->
                    return resolveOrRefuse(request, mayHaveRun, result.refusal)

                is DispatchResult.NotRun -> refusal = result.refusal

                is DispatchResult.Unknown -> mayHaveRun = true
            }
            failedAt = context.time.markNow()
            if (!budget.withdraw(dispatchDeadline)) break
        }
        return resolveOrRefuse(request, mayHaveRun, refusal)
    }

    /**
     * Resolves the outcome of [requestId]. An id that is not in the ledger is cancelled, so that
     * the answer "not run" stays true.
     */
    suspend fun resolve(
        requestId: RequestId,
        deadline: ComparableTimeMark
    ): Either<Refusal, WriteResult> = outcomes.resolve(requestId, deadline)

    /**
     * Resolves the outcome of a transaction that is no longer open: returns its result if it ran as
     * [requestId], else cancels the id and returns [refusal].
     */
    suspend fun resolveLostTransaction(
        requestId: RequestId,
        refusal: Refusal,
        deadline: ComparableTimeMark
    ): Either<Refusal, WriteResult> = resolve(requestId, deadline)
        .mapLeft { if (it.code == ResultCode.CANCELLED) refusal else it }

    /**
     * Acknowledges the transaction or write [requestId] that [server] answered with [answer] once
     * it is durable; otherwise resolves its outcome.
     */
    suspend fun acknowledge(
        server: BackendServerName,
        answer: Answer,
        requestId: RequestId,
        deadline: ComparableTimeMark
    ): Either<Refusal, WriteResult> {
        val known = when (answer.ledger) {
            LedgerState.NEW -> resultIfDurable(server, answer, deadline)

            LedgerState.RAN, LedgerState.CANCELLED ->
                outcomes.confirm(server, answer, requestId, deadline)
        }
        return known ?: outcomes.resolve(requestId, deadline)
    }

    private suspend fun acknowledgeWrite(
        server: BackendServerName,
        answer: Answer,
        request: WriteRequest
    ) = acknowledge(server, answer, request.requestId, request.deadline)

    private suspend fun resultIfDurable(
        server: BackendServerName,
        answer: Answer,
        deadline: ComparableTimeMark
    ): Either<Refusal, WriteResult>? = if (isDurable(answer.end, deadline)) {
        WriteResult(ResultCode.OK, answer.rows, server, answer.end).right()
    } else {
        null
    }

    private suspend fun isDurable(point: LogPoint, deadline: ComparableTimeMark) =
        context.config.acknowledge == Acknowledge.PRIMARY ||
            outcomes.awaitMajority(point, deadline)

    /**
     * Returns [refusal] if the request cannot have run, else resolves its outcome by means of the
     * ledger, which cancels the request before it is reported as not run.
     */
    private suspend fun resolveOrRefuse(
        request: WriteRequest,
        mayHaveRun: Boolean,
        refusal: Refusal
    ) = if (mayHaveRun) {
        outcomes.resolve(request.requestId, request.deadline)
    } else {
        refusal.left()
    }

    private fun noPrimary() = Refusal(
        ResultCode.NO_PRIMARY,
        "${context.config.name}: no primary with a majority in time",
        RETRY_AFTER_MS
    )
}
