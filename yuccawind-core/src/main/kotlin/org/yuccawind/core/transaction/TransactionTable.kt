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

private val MAX_EVIDENCE_AGE = 1_000.milliseconds
private val IDLE_TIMEOUT = 30.seconds
private val IDLE_CHECK_INTERVAL = 1.seconds
private const val RETRY_AFTER_MS = 500L

/**
 * The interactive transactions of one service that this instance owns.
 *
 * @property context the service
 * @property instance this instance, which the handles name as owner
 * @property open the open transactions
 */
class TransactionTable(
    private val context: ServiceContext,
    private val instance: InstanceId,
    val open: OpenTransactions = OpenTransactions()
) {
    /** Number of open transactions. */
    val size get() = open.size

    /** True while the transaction [handle] is open on this instance. */
    fun isOpen(handle: TransactionHandle) = handle in open.handles()

    /** Rolls back transactions that have been idle for 30 s; runs until cancelled. */
    suspend fun run() {
        while (true) {
            delay(IDLE_CHECK_INTERVAL)
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
        val transaction = open.find(handle) ?: return notOpen(handle).left()
        return transaction.mutex.withLock {
            // A concurrent commit or rollback may have ended it and released its connection.
            if (transaction.isEnded) return notOpen(handle).left()
            transaction.lastUsedAt = context.time.markNow()
            transaction.lease.execute(Command.Execute(statement)).mapLeft { error ->
                end(handle, transaction, isClean = error is BackendError.Failed)
                toRefusal(error)
            }
        }
    }

    /**
     * Commits and acknowledges like any other write, under [requestId]. A commit that did not
     * succeed is resolved through the ledger, so that "rolled back" is never reported when an
     * earlier commit with the same id ran and its answer was lost.
     */
    suspend fun commit(
        handle: TransactionHandle,
        requestId: RequestId,
        writes: WritePath,
        deadline: ComparableTimeMark
    ): Either<Refusal, WriteResult> {
        val transaction = open.find(handle)
            ?: return writes.resolveLostTransaction(requestId, notOpen(handle), deadline)
        val answer = sendFinal(handle, transaction, Command.Commit(requestId))
            ?: return writes.resolveLostTransaction(requestId, notOpen(handle), deadline)
        return answer.fold(
            { writes.resolveLostTransaction(requestId, toRefusal(it), deadline) },
            { writes.acknowledge(transaction.primary.primary, it, requestId, deadline) }
        )
    }

    /** Rolls back the transaction. */
    suspend fun rollback(handle: TransactionHandle): Either<Refusal, Unit> {
        val transaction = open.find(handle) ?: return notOpen(handle).left()
        sendFinal(handle, transaction, Command.Rollback) ?: return notOpen(handle).left()
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

    /** Sends the command that ends the transaction; null if it has already ended. */
    private suspend fun sendFinal(
        handle: TransactionHandle,
        transaction: OpenTransaction,
        command: Command
    ): Either<BackendError, Answer>? = transaction.mutex.withLock {
        if (transaction.isEnded) return null
        var answer: Either<BackendError, Answer>? = null
        try {
            answer = transaction.lease.execute(command)
        } finally {
            end(handle, transaction, isClean = answer?.isRight() == true)
        }
        answer
    }

    private fun end(handle: TransactionHandle, transaction: OpenTransaction, isClean: Boolean) {
        transaction.isEnded = true
        open.remove(handle)
        if (isClean) transaction.lease.release() else transaction.lease.discard()
    }

    private fun isIdle(handle: TransactionHandle): Boolean {
        val transaction = open.find(handle) ?: return false
        return !transaction.mutex.isLocked && transaction.lastUsedAt.elapsedNow() > IDLE_TIMEOUT
    }

    private fun freshPrimary(failedAt: ComparableTimeMark?) = context.evidence.newestCertificate()
        ?.takeIf { it.since.elapsedNow() < MAX_EVIDENCE_AGE }
        ?.takeIf { failedAt == null || it.since > failedAt }
        ?.takeIf { context.gate.admits(it.primary) }

    private fun noPrimary(detail: String) = Refusal(ResultCode.NO_PRIMARY, detail, RETRY_AFTER_MS)

    private fun notOpen(handle: TransactionHandle) = if (open.isOwn(handle, instance)) {
        Refusal(ResultCode.NO_SUCH_TRANSACTION, "transaction $handle is not open")
    } else {
        Refusal(ResultCode.TRANSACTION_LOST, "the owner of transaction $handle has gone")
    }

    private fun toRefusal(error: BackendError) = when (error) {
        is BackendError.Failed -> Refusal(ResultCode.STATEMENT_FAILED, error.detail)

        is BackendError.Lost,
        is BackendError.NoConnection,
        is BackendError.NotPrimary,
        is BackendError.NotSent
        -> Refusal(ResultCode.TRANSACTION_LOST, error.detail)
    }
}
