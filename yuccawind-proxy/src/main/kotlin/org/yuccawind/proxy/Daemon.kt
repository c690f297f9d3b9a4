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
import org.yuccawind.proxy.caller.ResultCodeErrorHandler
import org.yuccawind.proxy.http.WIRE_JSON
import org.yuccawind.proxy.log.KeyValueLog
import org.yuccawind.proxy.metrics.MeteredLog
import org.yuccawind.proxy.metrics.MeteredPeerClient
import org.yuccawind.proxy.metrics.MeteredPlatform
import org.yuccawind.proxy.metrics.Metrics
import org.yuccawind.proxy.metrics.MetricsApi
import org.yuccawind.proxy.metrics.ProcessMetrics
import org.yuccawind.proxy.metrics.ServiceGauges
import org.yuccawind.proxy.operator.ConfigAdmin
import org.yuccawind.proxy.operator.OperatorApi
import org.yuccawind.proxy.operator.OperatorKey
import org.yuccawind.proxy.operator.ServiceAdmin
import org.yuccawind.proxy.peer.KtorPeerClient
import org.yuccawind.proxy.peer.PeerServer
import org.yuccawind.proxy.platform.HttpPlatform
import org.yuccawind.proxy.settings.DaemonSettings
import org.yuccawind.proxy.settings.Endpoint

private const val MAX_BODY_BYTES = 1L shl 20

// Keeps the port open for requests that were already in flight when draining ended.
private val SHUTDOWN_QUIET_PERIOD = Duration.ofMillis(200)
private val DRAIN_POLL_INTERVAL = 20.milliseconds
private val CLOSE_TIMEOUT = 3_000.milliseconds

/** Runs one instance: wires the network adapters to the core and manages the lifecycle. */
class Daemon(private val settings: DaemonSettings) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val time = TimeSource.Monotonic
    private val metrics = Metrics()
    private val log = MeteredLog(KeyValueLog(settings.decisionLog), metrics)
    private val zone = AvailabilityZone(settings.zone)
    private val membership = Membership(InstanceId(settings.instance), time, zone)
    private val peerClient =
        MeteredPeerClient(KtorPeerClient(scope, metrics.traffic("peer")), metrics)
    private val writeHolds = WriteHolds(membership, peerClient) { directory }
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
        handoverNotifier = writeHolds
    )
    private val recordAge = RecordAge()
    private val directory: ServiceDirectory =
        ServiceDirectory(node, scope) { recordGossip.push(it) }
    private val recordGossip: RecordGossip =
        RecordGossip(node, directory, recordAge, peerClient, members = membership::peers)
    private val readiness = ConfigReadiness(recordGossip, time, membership::peers)
    private val watcher = ConfigWatcher(node, directory, recordAge) {
        membership.members().filter { it.zone == zone }.map { it.instance }
    }
    private val heartbeats = Heartbeats(node, membership, directory, peerClient)
    private val peerExchange =
        PeerExchange(
            heartbeats,
            InstanceListReader(node, membership, peerClient),
            writeHolds,
            recordGossip
        )

    // Separate connections: a slow transaction step must not make the heartbeat connection count as
    // silent, which would close it.
    private val transactions = TransactionRouter(
        node,
        { service, transaction -> directory.find(service, transaction) },
        membership::addressOf,
        MeteredPeerClient(KtorPeerClient(scope, metrics.traffic("peer")), metrics)
    )
    private val callerApi = CallerApi(node, directory, transactions, metrics::recordRequest)
    private val operatorApi = OperatorApi(
        OperatorKey(settings.operatorKey),
        ConfigAdmin(node, directory, recordAge, peerClient, membership::peers),
        ServiceAdmin(node, directory, membership, recordAge),
        log
    ) { readiness.isComplete && !callerApi.isDraining }

    private val callerServer = server(settings.callers) { callerApi.addTo(this) }
    private val operatorServer = server(settings.operators) {
        operatorApi.addTo(this)
        MetricsApi(metrics.registry).addTo(this)
    }

    /** Number of caller requests in progress. */
    internal val pending get() = callerApi.pending

    /** Starts the listeners and the exchange with the other instances. */
    suspend fun start() {
        ServiceGauges(directory, recordAge).register(metrics.registry)
        ProcessMetrics.register(metrics.registry)
        PeerServer(::handlePeerMessage, log, metrics.traffic("peer")).start(scope, settings.peers)
        scope.launch { watcher.run(readiness::onPlatformRead) }
        scope.launch { peerExchange.run() }
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
     * Stops gracefully. Reports not ready and announces the shutdown to the peers at once, waits up
     * to [DaemonSettings.drainMs] for requests and transactions in progress, then stops the
     * servers, cancels the background tasks and closes the pooled connections.
     */
    suspend fun stop() {
        val startedAt = time.markNow()
        callerApi.isDraining = true
        heartbeats.isLeaving = true
        val announcement = scope.launch { heartbeats.announce() }
        log.record(
            "instance_draining",
            "instance" to settings.instance,
            "pending" to callerApi.pending,
            "transactions" to directory.openTransactions
        )
        val timeout = settings.drainMs.milliseconds
        while (isBusy() && startedAt.elapsedNow() < timeout) delay(DRAIN_POLL_INTERVAL)
        val unfinished = callerApi.pending + directory.openTransactions
        announcement.join()
        callerServer.stop().await()
        operatorServer.stop().await()
        withTimeoutOrNull(CLOSE_TIMEOUT) { scope.coroutineContext.job.cancelAndJoin() }
        log.record("instance_stopped", "instance" to settings.instance, "cut" to unfinished)
    }

    private fun isBusy() = callerApi.pending > 0 || directory.openTransactions > 0

    private suspend fun handlePeerMessage(message: PeerMessage): PeerMessage =
        if (message is PeerMessage.TransactionCall) {
            transactions.handle(message)
        } else {
            peerExchange.handle(message)
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
            .errorHandler(ResultCodeErrorHandler)
            .gracefulShutdownTimeout(SHUTDOWN_QUIET_PERIOD, Duration.ofMillis(settings.drainMs))
            .apply(routes)
            .build()
}
