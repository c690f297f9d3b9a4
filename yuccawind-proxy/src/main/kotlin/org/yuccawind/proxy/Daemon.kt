package org.yuccawind.proxy

import com.linecorp.armeria.common.SessionProtocol
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServerBuilder
import java.net.InetSocketAddress
import java.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.config.ConfigReadiness
import org.yuccawind.core.config.ConfigWatcher
import org.yuccawind.core.config.RecordAge
import org.yuccawind.core.config.RecordGossip
import org.yuccawind.core.membership.Heartbeats
import org.yuccawind.core.membership.InstanceListReader
import org.yuccawind.core.membership.Membership
import org.yuccawind.core.membership.PeerExchange
import org.yuccawind.core.membership.WriteHolds
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.core.port.Platform
import org.yuccawind.core.service.NodeContext
import org.yuccawind.core.service.ServiceDirectory
import org.yuccawind.core.transaction.TransactionRouter
import org.yuccawind.proxy.backend.HttpBackendServer
import org.yuccawind.proxy.caller.CallerApi
import org.yuccawind.proxy.caller.NumberedErrorHandler
import org.yuccawind.proxy.http.WIRE_JSON
import org.yuccawind.proxy.log.KeyValueLog
import org.yuccawind.proxy.metrics.MeteredLog
import org.yuccawind.proxy.metrics.MeteredPeers
import org.yuccawind.proxy.metrics.MeteredPlatform
import org.yuccawind.proxy.metrics.Metrics
import org.yuccawind.proxy.metrics.MetricsApi
import org.yuccawind.proxy.metrics.ProcessMetrics
import org.yuccawind.proxy.metrics.ServiceGauges
import org.yuccawind.proxy.operator.ConfigAdmin
import org.yuccawind.proxy.operator.OperatorApi
import org.yuccawind.proxy.operator.OperatorKey
import org.yuccawind.proxy.operator.ServiceAdmin
import org.yuccawind.proxy.peer.KtorPeers
import org.yuccawind.proxy.peer.PeerServer
import org.yuccawind.proxy.platform.HttpPlatform
import org.yuccawind.proxy.settings.DaemonSettings
import org.yuccawind.proxy.settings.Endpoint

private const val MAX_BODY_BYTES = 1L shl 20

// A request that was on its way when the drain ended still finds the port open.
private val QUIET_PERIOD = Duration.ofMillis(200)
private val DRAIN_CHECK = 20.milliseconds
private val CLOSE_LIMIT = 3_000.milliseconds

/** One instance: the adapters joined to the decisions. */
class Daemon(private val settings: DaemonSettings) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val time = TimeSource.Monotonic
    private val metrics = Metrics()
    private val log = MeteredLog(KeyValueLog(settings.decisionLog), metrics)
    private val zone = AvailabilityZone(settings.zone)
    private val membership = Membership(InstanceId(settings.instance), time, zone)
    private val peers = MeteredPeers(KtorPeers(scope, metrics.traffic("peer")), metrics)
    private val holds = WriteHolds(membership, peers) { directory }
    private val node = NodeContext(
        instance = InstanceId(settings.instance),
        zone = zone,
        platform = platform(zone),
        connector = { HttpBackendServer(it, zone, metrics.traffic("backend")) },
        time = time,
        log = log,
        format = WIRE_JSON,
        liveInstances = membership::live,
        clusterView = membership,
        readPolicy = settings.readPolicy.policy,
        handoverNotifier = holds
    )
    private val age = RecordAge()
    private val directory: ServiceDirectory = ServiceDirectory(node, scope) { records.push(it) }
    private val records: RecordGossip =
        RecordGossip(node, directory, age, peers, members = membership::peers)
    private val startup = ConfigReadiness(records, time, membership::peers)
    private val watcher = ConfigWatcher(node, directory, age) {
        membership.members().filter { it.zone == zone }.map { it.instance }
    }
    private val heartbeats = Heartbeats(node, membership, directory, peers)
    private val exchange =
        PeerExchange(heartbeats, InstanceListReader(node, membership, peers), holds, records)

    // Links of their own: a slow step must not be taken for a silent link of the heartbeats.
    private val transactions = TransactionRouter(
        node,
        { service, transaction -> directory.find(service, transaction) },
        membership::addressOf,
        MeteredPeers(KtorPeers(scope, metrics.traffic("peer")), metrics)
    )
    private val callers = CallerApi(node, directory, transactions, metrics::answered)
    private val operators = OperatorApi(
        OperatorKey(settings.operatorKey),
        ConfigAdmin(node, directory, age, peers, membership::peers),
        ServiceAdmin(node, directory, membership, age),
        log
    ) { startup.isComplete && !callers.isDraining }

    private val callerServer = server(settings.callers) { callers.addTo(this) }
    private val operatorServer = server(settings.operators) {
        operators.addTo(this)
        MetricsApi(metrics.registry).addTo(this)
    }

    /** Requests of callers that are in progress. */
    internal val pending get() = callers.pending

    /** Starts listening and joins the other instances. */
    suspend fun start() {
        ServiceGauges(directory, age).register(metrics.registry)
        ProcessMetrics.register(metrics.registry)
        PeerServer(::answerPeer, log, metrics.traffic("peer")).start(scope, settings.peers)
        scope.launch { watcher.run(startup::onPlatformRead) }
        scope.launch { exchange.run() }
        callerServer.start().await()
        operatorServer.start().await()
        log.record(
            "instance_started",
            "instance" to settings.instance,
            "zone" to settings.zone,
            "callers" to settings.callers,
            "operators" to settings.operators,
            "peers" to settings.peers
        )
    }

    /**
     * Stops gracefully: not ready and gone for the peers at once; requests and transactions in
     * progress finish within the time that the settings allow; then the connections go back.
     */
    suspend fun stop() {
        val startedAt = time.markNow()
        callers.isDraining = true
        heartbeats.isLeaving = true
        val announcing = scope.launch { heartbeats.announce() }
        log.record(
            "instance_draining",
            "instance" to settings.instance,
            "pending" to callers.pending,
            "transactions" to directory.openTransactions
        )
        val limit = settings.drainMs.milliseconds
        while (isBusy() && startedAt.elapsedNow() < limit) delay(DRAIN_CHECK)
        val cut = callers.pending + directory.openTransactions
        announcing.join()
        callerServer.stop().await()
        operatorServer.stop().await()
        withTimeoutOrNull(CLOSE_LIMIT) { scope.coroutineContext.job.cancelAndJoin() }
        log.record("instance_stopped", "instance" to settings.instance, "cut" to cut)
    }

    private fun isBusy() = callers.pending > 0 || directory.openTransactions > 0

    private suspend fun answerPeer(message: PeerMessage): PeerMessage =
        if (message is PeerMessage.TransactionCall) {
            transactions.handle(message)
        } else {
            exchange.handle(message)
        }

    private fun platform(zone: AvailabilityZone): Platform {
        val platform = HttpPlatform(settings.platform, zone, metrics.traffic("platform"))
        return MeteredPlatform(platform, metrics, time)
    }

    private fun server(endpoint: Endpoint, routes: ServerBuilder.() -> Unit): Server =
        Server.builder()
            .port(InetSocketAddress(endpoint.host, endpoint.port), SessionProtocol.HTTP)
            .maxRequestLength(MAX_BODY_BYTES)
            .requestTimeout(Duration.ZERO)
            .errorHandler(NumberedErrorHandler)
            .gracefulShutdownTimeout(QUIET_PERIOD, Duration.ofMillis(settings.drainMs))
            .apply(routes)
            .build()
}
