package org.yuccawind.core.transaction

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.withLock
import org.yuccawind.core.evidence.Certificate
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.model.RequestId
import org.yuccawind.core.pool.ConnectionPool
import org.yuccawind.core.port.Answer
import org.yuccawind.core.port.BackendError
import org.yuccawind.core.port.Command
import org.yuccawind.core.result.Refusal
import org.yuccawind.core.result.ResultCode
import org.yuccawind.core.service.ServiceContext
import org.yuccawind.core.write.WritePath
import org.yuccawind.core.write.WriteResult

private val PRIMARY_EVIDENCE_AGE = 1_000.milliseconds
private val IDLE_LIMIT = 30.seconds
private val IDLE_CHECK_PERIOD = 1.seconds
private const val RETRY_AFTER_MS = 500L

/**
 * The interactive transactions of one service that this instance owns.
 *
 * @property context the service
 * @property instance this instance, named in the handles
 * @property open transactions in progress
 */
class TransactionTable(
    private val context: ServiceContext,
    private val instance: InstanceId,
    val open: OpenTransactions = OpenTransactions()
) {
    /** Number of transactions in progress. */
    val size get() = open.size

    /** True while the transaction [handle] is open here. */
    fun holds(handle: TransactionHandle) = handle in open.handles()

    /** Rolls back transactions that have been idle for 30 s; runs until cancelled. */
    suspend fun run() {
        while (true) {
            delay(IDLE_CHECK_PERIOD)
            open.handles().filter(::isIdle).forEach { rollback(it) }
        }
    }

    /** Opens a transaction on the primary. */
    suspend fun begin(deadline: ComparableTimeMark): Either<Refusal, TransactionHandle> {
        var refusal = noPrimary("no primary with a majority in time")
        var failedAt: ComparableTimeMark? = null
        while (deadline.hasNotPassedNow()) {
            val primary = context.awaitEvidence(deadline) { freshPrimary(failedAt) } ?: break
            val pool = context.pools[primary.primary] ?: break
            val lease = pool.acquire(deadline).fold({ return it.left() }, { it })
            val error = start(primary, lease).fold({ it }, { return it.right() })
            refusal = noPrimary(error.detail)
            failedAt = context.time.markNow()
        }
        return refusal.left()
    }

    /** Runs one statement of the transaction. */
    suspend fun execute(handle: TransactionHandle, statement: String): Either<Refusal, Answer> {
        val transaction = open.find(handle) ?: return missing(handle).left()
        return transaction.mutex.withLock {
            // A commit or rollback may have ended it meanwhile and given its connection away.
            if (transaction.isOver) return missing(handle).left()
            transaction.usedAt = context.time.markNow()
            transaction.lease.execute(Command.Execute(statement)).mapLeft { error ->
                end(handle, transaction, isClean = error is BackendError.Failed)
                lost(error)
            }
        }
    }

    /**
     * Commits; the write is acknowledged like any other, by [requestId]. A commit that did not
     * succeed is looked up in the ledger, so that "rolled back" is true also when an earlier
     * commit of the same id got lost.
     */
    suspend fun commit(
        handle: TransactionHandle,
        requestId: RequestId,
        writes: WritePath,
        deadline: ComparableTimeMark
    ): Either<Refusal, WriteResult> {
        val transaction = open.find(handle)
            ?: return writes.resolveLost(requestId, missing(handle), deadline)
        val answer = finish(handle, transaction, Command.Commit(requestId))
            ?: return writes.resolveLost(requestId, missing(handle), deadline)
        return answer.fold(
            { writes.resolveLost(requestId, lost(it), deadline) },
            { writes.acknowledge(transaction.primary.primary, it, requestId, deadline) }
        )
    }

    /** Rolls back; the transaction leaves no trace. */
    suspend fun rollback(handle: TransactionHandle): Either<Refusal, Unit> {
        val transaction = open.find(handle) ?: return missing(handle).left()
        finish(handle, transaction, Command.Rollback) ?: return missing(handle).left()
        return Unit.right()
    }

    private suspend fun start(
        primary: Certificate,
        lease: ConnectionPool.Lease
    ): Either<BackendError, TransactionHandle> {
        var isOpen = false
        try {
            return lease.execute(Command.Begin(primary.end.term)).map {
                isOpen = true
                open.add(instance, OpenTransaction(primary, lease, context.time.markNow()))
            }
        } finally {
            if (!isOpen) lease.discard()
        }
    }

    /** Sends the last command of the transaction; null when it has already ended. */
    private suspend fun finish(
        handle: TransactionHandle,
        transaction: OpenTransaction,
        command: Command
    ): Either<BackendError, Answer>? = transaction.mutex.withLock {
        if (transaction.isOver) return null
        var answer: Either<BackendError, Answer>? = null
        try {
            answer = transaction.lease.execute(command)
        } finally {
            end(handle, transaction, isClean = answer?.isRight() == true)
        }
        answer
    }

    private fun end(handle: TransactionHandle, transaction: OpenTransaction, isClean: Boolean) {
        transaction.isOver = true
        open.remove(handle)
        if (isClean) transaction.lease.release() else transaction.lease.discard()
    }

    private fun isIdle(handle: TransactionHandle): Boolean {
        val transaction = open.find(handle) ?: return false
        return !transaction.mutex.isLocked && transaction.usedAt.elapsedNow() > IDLE_LIMIT
    }

    private fun freshPrimary(failedAt: ComparableTimeMark?) = context.evidence.newestCertificate()
        ?.takeIf { it.since.elapsedNow() < PRIMARY_EVIDENCE_AGE }
        ?.takeIf { failedAt == null || it.since > failedAt }
        ?.takeIf { context.gate.admits(it.primary) }

    private fun noPrimary(detail: String) = Refusal(ResultCode.NO_PRIMARY, detail, RETRY_AFTER_MS)

    private fun missing(handle: TransactionHandle) = if (open.isOwn(handle, instance)) {
        Refusal(ResultCode.NO_SUCH_TRANSACTION, "transaction $handle is not open")
    } else {
        Refusal(ResultCode.TRANSACTION_LOST, "the owner of transaction $handle has gone")
    }

    private fun lost(error: BackendError) = when (error) {
        is BackendError.Failed -> Refusal(ResultCode.STATEMENT_FAILED, error.detail)

        is BackendError.Lost,
        is BackendError.NoConnection,
        is BackendError.NotPrimary,
        is BackendError.NotSent
        -> Refusal(ResultCode.TRANSACTION_LOST, error.detail)
    }
}
