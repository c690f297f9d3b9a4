package org.yuccawind.core.service

import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.yuccawind.core.config.HighestRevisions
import org.yuccawind.core.config.RecordOrigin
import org.yuccawind.core.config.RecordTable
import org.yuccawind.core.config.ServiceRecord
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.transaction.TransactionHandle

private val DRAIN_CHECK = 20.milliseconds
private val DRAIN_LIMIT = 60_000.milliseconds

/**
 * The services in force on this instance. A record with a lower revision than the one in force is
 * never installed.
 *
 * A runtime that is replaced, or whose service is deleted, takes no new requests; those in progress
 * and open transactions finish on it for [DRAIN_LIMIT] at most, then its connections are closed.
 *
 * @property onInstalled called with each service whose record comes in force
 */
class ServiceDirectory(
    private val node: NodeContext,
    private val scope: CoroutineScope,
    private val onInstalled: (ServiceName) -> Unit = {}
) : RecordTable {
    private val table = HighestRevisions(node.log, ::replace)
    private val running = ConcurrentHashMap<ServiceName, Running>()
    private val draining = ConcurrentHashMap.newKeySet<Running>()

    /** Finds a service that is in force, or returns null. */
    fun find(name: ServiceName): ServiceRuntime? = running[name]?.runtime

    /** Finds the runtime that holds [transaction] or, when none does, the one in force. */
    fun find(name: ServiceName, transaction: TransactionHandle): ServiceRuntime? =
        drainingOwner(name, transaction)?.runtime ?: find(name)

    /** Number of interactive transactions in progress on this instance. */
    val openTransactions: Int
        get() = (running.values + draining).sumOf { it.runtime.transactions.size }

    /**
     * Runs [block] with the runtime of service [name], which outlasts the block also when it is
     * replaced meanwhile. An open [transaction] is found on the runtime that it began on. Null when
     * there is no such service.
     */
    suspend fun <T : Any> use(
        name: ServiceName,
        transaction: TransactionHandle? = null,
        block: suspend (ServiceRuntime) -> T
    ): T? {
        val entered = enter(name, transaction) ?: return null
        try {
            return block(entered.runtime)
        } finally {
            entered.inFlight.exit()
        }
    }

    override fun records(): Map<ServiceName, ServiceRecord> = table.records()

    override fun install(
        service: ServiceName,
        record: ServiceRecord,
        origin: RecordOrigin
    ): Boolean = table.install(service, record, origin)

    private fun enter(name: ServiceName, transaction: TransactionHandle?): Running? {
        while (true) {
            val found = transaction?.let { drainingOwner(name, it) } ?: running[name] ?: return null
            if (found.inFlight.enter()) return found
        }
    }

    private fun drainingOwner(name: ServiceName, transaction: TransactionHandle) = draining.find {
        it.runtime.config.name == name && it.runtime.transactions.isOpen(transaction)
    }

    private fun replace(name: ServiceName, record: ServiceRecord) {
        val old = running[name]
        if (old != null) draining += old
        val next = record.config?.let {
            start(ServiceRuntime(it, record.revision, node, old?.runtime))
        }
        if (next == null) running.remove(name) else running[name] = next
        if (old != null) scope.launch { drain(old) }
        onInstalled(name)
    }

    private fun start(runtime: ServiceRuntime) = Running(runtime, runtime.start(scope))

    private suspend fun drain(old: Running) {
        val startedAt = node.time.markNow()
        old.runtime.retire()
        val quiet = { old.runtime.transactions.size == 0 }
        while (!old.inFlight.closeIf(quiet) && startedAt.elapsedNow() < DRAIN_LIMIT) {
            delay(DRAIN_CHECK)
        }
        old.job.cancel()
        draining -= old
        node.log.record(
            "config_drained",
            "service" to old.runtime.config.name,
            "revision" to old.runtime.revision,
            "cut_transactions" to old.runtime.transactions.size,
            "elapsed_ms" to startedAt.elapsedNow().inWholeMilliseconds
        )
    }

    private class Running(val runtime: ServiceRuntime, val job: Job) {
        val inFlight = InFlight()
    }
}
