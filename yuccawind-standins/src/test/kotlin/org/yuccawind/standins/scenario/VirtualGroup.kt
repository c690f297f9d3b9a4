package org.yuccawind.standins.scenario

import arrow.core.left
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.testTimeSource
import kotlinx.serialization.json.Json
import org.yuccawind.core.config.Acknowledge
import org.yuccawind.core.config.BackendServerConfig
import org.yuccawind.core.config.ReadKind
import org.yuccawind.core.config.ServiceConfig
import org.yuccawind.core.failover.DetectionPolicy
import org.yuccawind.core.membership.Member
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.RequestId
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.core.port.Command
import org.yuccawind.core.port.DecisionLog
import org.yuccawind.core.port.PeerClient
import org.yuccawind.core.port.PeerError
import org.yuccawind.core.read.ReadPolicy
import org.yuccawind.core.read.ReadRequest
import org.yuccawind.core.service.NodeContext
import org.yuccawind.core.service.ServiceRuntime
import org.yuccawind.core.transaction.TransactionRouter
import org.yuccawind.core.wire.BackendCall
import org.yuccawind.core.wire.BackendReply
import org.yuccawind.core.write.WriteRequest
import org.yuccawind.standins.database.DatabaseFaults
import org.yuccawind.standins.database.DatabaseNode
import org.yuccawind.standins.database.DatabaseSettings
import org.yuccawind.standins.database.FakeBackendServer
import org.yuccawind.standins.database.ReplicaLink
import org.yuccawind.standins.network.LinkModel
import org.yuccawind.standins.network.LinkSettings
import org.yuccawind.standins.platform.FakePlatform
import org.yuccawind.standins.platform.PlatformModel

/** A database group, a platform and several instances under the test's virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
class VirtualGroup(
    private val test: TestScope,
    private val settings: DatabaseSettings = DatabaseSettings(),
    instances: Int = 2,
    acknowledge: Acknowledge = Acknowledge.MAJORITY,
    private val detection: DetectionPolicy = DetectionPolicy.Adaptive(),
    private val readPolicy: ReadPolicy = ReadPolicy.Predicted(),
    link: LinkSettings? = null
) {
    private val time = test.testTimeSource
    val zones = listOf("a", "b", "c").map(::AvailabilityZone)
    val platform = PlatformModel(time)
    val nodes = List(3) { index ->
        val model = link?.let { LinkModel(zones[index].value, it, Random(index)) }
        DatabaseNode(settings, time, model)
    }
    val names = nodes.indices.map { BackendServerName("db-${it + 1}") }
    private val ids = List(instances) { InstanceId("proxy-${it + 1}") }
    val clusterView =
        TestClusterView(ids.mapIndexed { index, id -> Member(id, zones[index % zones.size]) })

    val config = ServiceConfig(
        name = ServiceName("pairing"),
        backendServers = names.mapIndexed { index, name ->
            BackendServerConfig(name, zones[index], "127.0.0.1:${7001 + index}")
        },
        readKinds = listOf(ReadKind("default"), ReadKind("second", 1_000), ReadKind("current", 0)),
        acknowledge = acknowledge
    )

    val runtimes = ids.mapIndexed { index, id -> ServiceRuntime(config, 1, context(id, index)) }

    /** Transport between instances and databases, on which tests lose or refuse commands. */
    var transport: CommandTransport = CommandTransport { _, _, send -> send() }

    /** Fault injected into decisions; none by default. */
    var decisionFault = DecisionFault()

    /** Routers that handle forwarded transaction calls, one per instance. */
    val routers = runtimes.indices.map { router(it, NoPeers) }

    /** Creates a router of instance [index] that forwards to transaction owners through [peers]. */
    fun router(index: Int, peers: PeerClient) =
        TransactionRouter(context(ids[index], index), { _, _ ->
            runtimes[index]
        }, { it.value }, peers)

    fun start() {
        for ((index, node) in nodes.withIndex()) {
            val links = nodes.indices.filter { it != index }.map { link(index, it) }
            test.backgroundScope.launch { node.replicateTo(links) }
        }
        runtimes.forEach { it.start(test.backgroundScope) }
    }

    suspend fun write(runtime: ServiceRuntime, id: String, statement: String, ms: Long = 5_000) =
        runtime.writes.write(
            WriteRequest(RequestId(id), listOf(statement), false, time.markNow() + ms.milliseconds)
        )

    suspend fun read(
        runtime: ServiceRuntime,
        statement: String,
        seen: LogPoint = LogPoint.ZERO,
        kind: String = "default"
    ) = runtime.reads.read(
        ReadRequest(
            statement,
            checkNotNull(config.readKind(kind)),
            seen,
            time.markNow(),
            time.markNow() + 5_000.milliseconds
        )
    )

    /** Delivers a delayed [command] to [server], as if its connection had stayed open. */
    suspend fun deliver(server: BackendServerName, command: Command): BackendReply {
        val node = nodes[indexOf(server)]
        val opened = node.open() as BackendReply.Opened
        val reply = node.execute(opened.connection, BackendCall(1, command))
        node.close(opened.connection)
        return reply
    }

    /** Cuts off the zone of node [index] from the zones of the other nodes, or ends the cut. */
    fun cut(index: Int, isCut: Boolean = true) {
        val others = zones.map { it.value }.toSet() - zones[index].value
        for (node in nodes.indices) {
            val unreachable = if (node == index) others else setOf(zones[index].value)
            nodes[node].inject(DatabaseFaults(cutZones = if (isCut) unreachable else emptySet()))
        }
    }

    fun indexOf(name: BackendServerName) = names.indexOf(name)

    private fun link(from: Int, to: Int) = ReplicaLink { call ->
        nodes[to].awaitDelivery(zones[from].value)
        nodes[from].awaitDelivery(zones[to].value)
        nodes[to].replicate(call)
    }

    fun context(id: InstanceId, index: Int): NodeContext {
        val zone = zones[index % zones.size]
        return NodeContext(
            instance = id,
            zone = zone,
            platform = FakePlatform(platform, zone),
            connector = { server ->
                val node = nodes[names.indexOf(server.name)]
                LossyServer(
                    FakeBackendServer(server.name, node, zone),
                    { decisionFault }
                ) { transport }
            },
            time = time,
            log = DecisionLog.NONE,
            format = Json,
            liveInstances = { ids },
            clusterView = clusterView,
            detection = detection,
            readPolicy = readPolicy
        )
    }
}

private object NoPeers : PeerClient {
    override suspend fun call(address: String, message: PeerMessage) = PeerError("no peers").left()
}
