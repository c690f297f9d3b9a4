package org.yuccawind.core.transaction

import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlinx.coroutines.sync.Mutex
import org.yuccawind.core.evidence.Certificate
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.pool.ConnectionPool

/**
 * The open transactions of one service runtime on this instance.
 *
 * @property incarnation prefix of the handle ids that this process creates for the service; later
 *   runtimes of the service reuse it
 */
class OpenTransactions(internal val incarnation: String = UUID.randomUUID().toString()) {
    private val open = ConcurrentHashMap<TransactionHandle, OpenTransaction>()

    /** Number of open transactions. */
    val size get() = open.size

    internal fun add(instance: InstanceId, transaction: OpenTransaction): TransactionHandle {
        val handle = TransactionHandle(instance, "$incarnation.${UUID.randomUUID()}")
        open[handle] = transaction
        return handle
    }

    internal fun find(handle: TransactionHandle): OpenTransaction? = open[handle]

    internal fun remove(handle: TransactionHandle) {
        open.remove(handle)
    }

    internal fun handles(): List<TransactionHandle> = open.keys.toList()

    /** False for a transaction of another instance, or of this instance before a restart. */
    internal fun isOwn(handle: TransactionHandle, instance: InstanceId) =
        handle.owner == instance && handle.id.startsWith("$incarnation.")
}

/** An open transaction and its connection; commands run only while holding [mutex]. */
internal class OpenTransaction(
    val primary: Certificate,
    val lease: ConnectionPool.Lease,
    @Volatile var lastUsedAt: ComparableTimeMark
) {
    val mutex = Mutex()

    /** True once the transaction has ended; its connection may already be reused. */
    var isEnded = false
}
