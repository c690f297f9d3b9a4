package org.yuccawind.core.transaction

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.model.RequestId
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.core.peer.TransactionStep
import org.yuccawind.core.port.PeerClient
import org.yuccawind.core.result.Refusal
import org.yuccawind.core.result.ResultCode
import org.yuccawind.core.service.NodeContext
import org.yuccawind.core.service.ServiceRuntime
import org.yuccawind.core.write.WriteResult

private val ROLLBACK_TIMEOUT = 500.milliseconds

/** One in this many parts of a commit's time is reserved for resolving its outcome. */
private const val OUTCOME_DIVISOR = 3

/**
 * Forwards each step of an interactive transaction to the instance that owns it.
 *
 * @property node this instance
 * @property findService returns the service runtime that owns an open transaction, or null
 * @property addressOf returns the peer address of an instance; null if it is not listed
 * @property peers client for calls to other instances
 */
class TransactionRouter(
    private val node: NodeContext,
    private val findService: (ServiceName, TransactionHandle) -> ServiceRuntime?,
    private val addressOf: (InstanceId) -> String?,
    private val peers: PeerClient
) {
    /** Runs a statement on the owner and returns its rows. */
    suspend fun execute(
        service: ServiceRuntime,
        handle: TransactionHandle,
        statement: String,
        deadline: ComparableTimeMark
    ): Either<Refusal, List<String>> {
        if (isOwn(handle)) return service.transactions.execute(handle, statement).map { it.rows }
        val reply =
            forward(service, handle, TransactionStep.Execute(statement), remaining(deadline))
        if (reply == null) abandon(service, handle)
        return when (reply) {
            is PeerMessage.TransactionRows -> reply.rows.right()
            is PeerMessage.TransactionRefused -> reply.toRefusal().left()
            else -> ownerUnreachable(handle).left()
        }
    }

    /** Commits on the owner; if the reply is lost, resolves [requestId] through the ledger. */
    suspend fun commit(
        service: ServiceRuntime,
        handle: TransactionHandle,
        requestId: RequestId,
        deadline: ComparableTimeMark
    ): Either<Refusal, WriteResult> {
        val writes = service.writes
        if (isOwn(handle)) {
            return service.transactions.commit(handle, requestId, writes, deadline)
        }
        val limit = remaining(deadline) * (OUTCOME_DIVISOR - 1) / OUTCOME_DIVISOR
        val reply = forward(service, handle, TransactionStep.Commit(requestId), limit)
        return when (reply) {
            is PeerMessage.TransactionCommitted -> reply.result.right()
            is PeerMessage.TransactionRefused -> reply.toRefusal().left()
            else -> writes.resolveLostTransaction(requestId, ownerUnreachable(handle), deadline)
        }
    }

    /** Rolls back on the owner. */
    suspend fun rollback(
        service: ServiceRuntime,
        handle: TransactionHandle,
        deadline: ComparableTimeMark
    ): Either<Refusal, Unit> {
        if (isOwn(handle)) return service.transactions.rollback(handle)
        val reply = forward(service, handle, TransactionStep.Rollback, remaining(deadline))
        return when (reply) {
            is PeerMessage.TransactionRows -> Unit.right()
            is PeerMessage.TransactionRefused -> reply.toRefusal().left()
            else -> ownerUnreachable(handle).left()
        }
    }

    /** Runs a step that another instance forwarded. */
    suspend fun handle(call: PeerMessage.TransactionCall): PeerMessage {
        val handle = TransactionHandle.parse(call.transaction)
        val service = handle?.let { findService(call.service, it) }
        if (service == null || handle == null) return refused(unknownService(call.service))
        val deadline = node.time.markNow() + call.limitMs.milliseconds
        return when (val step = call.step) {
            is TransactionStep.Execute -> service.transactions.execute(handle, step.statement)
                .fold(::refused) { PeerMessage.TransactionRows(it.rows) }

            is TransactionStep.Commit ->
                service.transactions
                    .commit(handle, step.requestId, service.writes, deadline)
                    .fold(::refused, PeerMessage::TransactionCommitted)

            TransactionStep.Rollback -> service.transactions.rollback(handle)
                .fold(::refused) { PeerMessage.TransactionRows(emptyList()) }
        }
    }

    private suspend fun forward(
        service: ServiceRuntime,
        handle: TransactionHandle,
        step: TransactionStep,
        limit: Duration
    ): PeerMessage? {
        val address = addressOf(handle.owner)
        node.log.record(
            "transaction_forward",
            "service" to service.config.name,
            "transaction" to handle,
            "step" to step::class.simpleName,
            "address" to address
        )
        if (address == null || !limit.isPositive()) return null
        val limitMs = limit.inWholeMilliseconds
        val call =
            PeerMessage.TransactionCall(service.config.name, handle.toString(), step, limitMs)
        return peers.call(address, call, limit).getOrNull()
    }

    /** Rolls back a transaction reported as lost, so that a live owner does not keep it open. */
    private suspend fun abandon(service: ServiceRuntime, handle: TransactionHandle) {
        forward(service, handle, TransactionStep.Rollback, ROLLBACK_TIMEOUT)
    }

    private fun isOwn(handle: TransactionHandle) = handle.owner == node.instance

    private fun remaining(deadline: ComparableTimeMark) = -deadline.elapsedNow()

    private fun refused(refusal: Refusal): PeerMessage =
        PeerMessage.TransactionRefused(refusal.code, refusal.detail, refusal.retryAfterMs)

    private fun unknownService(service: ServiceName) =
        Refusal(ResultCode.TRANSACTION_LOST, "the owner does not serve $service")

    private fun ownerUnreachable(handle: TransactionHandle) =
        Refusal(ResultCode.TRANSACTION_LOST, "the owner of transaction $handle does not answer")
}
