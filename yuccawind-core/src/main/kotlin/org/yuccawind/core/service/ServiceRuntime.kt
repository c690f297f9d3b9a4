package org.yuccawind.core.service

import arrow.core.Either
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.yuccawind.core.config.BackendServerConfig
import org.yuccawind.core.config.GroupChange
import org.yuccawind.core.config.ServiceConfig
import org.yuccawind.core.evidence.EvidenceProber
import org.yuccawind.core.evidence.EvidenceStore
import org.yuccawind.core.evidence.ProbePeriod
import org.yuccawind.core.failover.FailoverWatch
import org.yuccawind.core.failover.Handover
import org.yuccawind.core.failover.LeavingPolicy
import org.yuccawind.core.failover.LeavingPrimaryWatch
import org.yuccawind.core.failover.PromotionPhase
import org.yuccawind.core.failover.Reachability
import org.yuccawind.core.failover.TermRecords
import org.yuccawind.core.failover.WriteGate
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.pool.ConnectionPool
import org.yuccawind.core.pool.PoolSettings
import org.yuccawind.core.pool.PoolSignals
import org.yuccawind.core.read.ReadPath
import org.yuccawind.core.result.Refusal
import org.yuccawind.core.transaction.OpenTransactions
import org.yuccawind.core.transaction.TransactionTable
import org.yuccawind.core.write.WritePath

/**
 * Components that serve one service on this instance: evidence, read and write paths, interactive
 * transactions and failover monitoring.
 *
 * @property config configuration of this runtime
 * @property revision revision of [config]
 * @param previous runtime that this one replaces, or null; its evidence is kept if the group is
 *   unchanged
 */
class ServiceRuntime(
    val config: ServiceConfig,
    val revision: Long,
    private val node: NodeContext,
    previous: ServiceRuntime? = null
) {
    private val retired = CompletableDeferred<Unit>()
    private val reachability = Reachability(node.time)
    private val leaving = LeavingPolicy(node.clusterView)
    private val servers = config.backendServers
        .map { reachability.monitor(node.connector.connect(it)) }
        .associateBy { it.name }
    private val evidence: EvidenceStore =
        previous?.takeIf { GroupChange.isSameGroup(it.config, config) }?.evidence
            ?: EvidenceStore(config.majority, node.time)
    private val prober =
        EvidenceProber(servers.values.toList(), evidence, node.time, ProbePeriod.of(config))

    /** Dependencies shared by the components of this service. */
    val context = ServiceContext(
        config = config,
        zone = node.zone,
        servers = servers,
        pools = config.backendServers.associate { it.name to poolOf(it) },
        evidence = evidence,
        prober = prober,
        time = node.time,
        log = node.log,
        gate = WriteGate(node.time, leaving::isClosed),
        leaving = leaving
    )

    /** Serves reads. */
    val reads = ReadPath(context, node.readPolicy)

    /** Serves writes and resolves the outcomes of earlier ones. */
    val writes = WritePath(context)

    /** Interactive transactions that this instance owns. */
    val transactions: TransactionTable = TransactionTable(
        context,
        node.instance,
        previous?.let { OpenTransactions(it.transactions.open.incarnation) } ?: OpenTransactions()
    )

    private val terms = TermRecords(config.name, node.instance, node.platform, node.format)
    private val watch = FailoverWatch(context, node, terms, reachability)
    private val handover = Handover(context, terms, node.handoverNotifier)
    private val leavingWatch = LeavingPrimaryWatch(context, node, handover) { transactions.size }

    /**
     * Hands the primary role over to the server [to] on an operator's request. Fails with
     * `HANDOVER_FAILED` if another server is primary afterwards or none could be promoted.
     */
    suspend fun handover(to: BackendServerName): Either<Refusal, PromotionPhase.Done> =
        handover.to(to)

    /**
     * Starts the background work: probing, failover monitoring, connection pools and transaction
     * expiry. Cancel the returned job to stop all of it.
     */
    fun start(scope: CoroutineScope): Job = scope.launch {
        launch { prober.run() }
        launch { monitorUntilRetired() }
        context.pools.values.forEach { launch { it.run() } }
        launch { transactions.run() }
    }

    /**
     * Stops failover monitoring, which the replacing runtime takes over. Requests in progress can
     * still finish.
     */
    fun retire() {
        retired.complete(Unit)
    }

    private suspend fun monitorUntilRetired() = coroutineScope {
        val monitors = listOf(launch { watch.run() }, launch { leavingWatch.run() })
        retired.await()
        monitors.forEach { it.cancel() }
    }

    private fun poolOf(server: BackendServerConfig) = ConnectionPool(
        servers.getValue(server.name),
        PoolSettings(server.connections, server.slots, config.queueLimit),
        node.time,
        object : PoolSignals {
            override val instanceCount get() = node.liveInstances().size
            override val status get() = evidence.observationOf(server.name)?.status
        }
    )
}
