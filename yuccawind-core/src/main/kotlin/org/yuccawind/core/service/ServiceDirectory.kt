package org.yuccawind.core.service

import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.yuccawind.core.config.HighestRevisionTable
import org.yuccawind.core.config.RecordOrigin
import org.yuccawind.core.config.RecordTable
import org.yuccawind.core.config.ServiceRecord
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.transaction.TransactionHandle

private val DRAIN_CHECK_PERIOD = 20.milliseconds
private val DRAIN_TIMEOUT = 60_000.milliseconds

/**
 * Runs the services in force on this instance. A record is never replaced by one with a lower
 * revision.
 *
 * When a runtime is replaced or its service is deleted, it is drained: it accepts no new requests,
 * but requests and transactions in progress may finish for at most [DRAIN_TIMEOUT]. Then its
 * connections are closed.
 *
 * @property onInstalled called with the name of each service whose record came into force
 */
class ServiceDirectory(
    private val node: NodeContext,
    private val scope: CoroutineScope,
    private val onInstalled: (ServiceName) -> Unit = {}
) : RecordTable {
    private val table = HighestRevisionTable(node.log, ::replace)
    private val running = ConcurrentHashMap<ServiceName, RunningService>()
    private val draining = ConcurrentHashMap.newKeySet<RunningService>()

    /** Finds the runtime in force for service [name], or returns null. */
    fun find(name: ServiceName): ServiceRuntime? = running[name]?.runtime

    /** Finds the draining runtime that owns [transaction] or else the one in force. */
    fun find(name: ServiceName, transaction: TransactionHandle): ServiceRuntime? =
        drainingOwner(name, transaction)?.runtime ?: find(name)

    /** Number of interactive transactions in progress on this instance. */
    val openTransactions: Int
        get() = (running.values + draining).sumOf { it.runtime.transactions.size }

    /**
     * Runs [block] with the runtime of service [name]. If the runtime is replaced meanwhile, its
     * drain waits for the block to finish, at most [DRAIN_TIMEOUT]. An open [transaction] runs on
     * the runtime on which it began. Returns null if there is no such service.
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

    private fun enter(name: ServiceName, transaction: TransactionHandle?): RunningService? {
        while (true) {
            val found = transaction?.let { drainingOwner(name, it) } ?: running[name] ?: return null
            if (found.inFlight.tryEnter()) return found
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

    private fun start(runtime: ServiceRuntime) = RunningService(runtime, runtime.start(scope))

    private suspend fun drain(old: RunningService) {
        val startedAt = node.time.markNow()
        old.runtime.retire()
        val isIdle = { old.runtime.transactions.size == 0 }
        while (!old.inFlight.closeIf(isIdle) && startedAt.elapsedNow() < DRAIN_TIMEOUT) {
            delay(DRAIN_CHECK_PERIOD)
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

    private class RunningService(val runtime: ServiceRuntime, val job: Job) {
        val inFlight = InFlightRequests()
    }
}
