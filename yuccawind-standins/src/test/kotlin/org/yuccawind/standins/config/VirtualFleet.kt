package org.yuccawind.standins.config

import kotlin.random.Random
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.testTimeSource
import kotlinx.serialization.json.Json
import org.yuccawind.core.config.ConfigReadiness
import org.yuccawind.core.config.ConfigStore
import org.yuccawind.core.config.ConfigWatcher
import org.yuccawind.core.config.HighestRevisionTable
import org.yuccawind.core.config.RecordAge
import org.yuccawind.core.config.RecordGossip
import org.yuccawind.core.config.RecordOrigin
import org.yuccawind.core.config.RecordTable
import org.yuccawind.core.config.ServiceRecord
import org.yuccawind.core.config.WATCHERS_PER_ZONE
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.core.port.DecisionLog
import org.yuccawind.core.port.InstanceEntry
import org.yuccawind.core.service.BackendConnector
import org.yuccawind.core.service.NodeContext
import org.yuccawind.standins.platform.FakePlatform
import org.yuccawind.standins.platform.PlatformModel

/** Creates a record table that calls the given function for each record it installs. */
typealias TableFactory = ((ServiceName, ServiceRecord) -> Unit) -> RecordTable

/** Instances that exchange configuration records by gossip, under the test's virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
class VirtualFleet(
    private val test: TestScope,
    size: Int,
    seed: Long,
    private val watchersPerZone: Int = WATCHERS_PER_ZONE,
    private val createTable: TableFactory = { HighestRevisionTable(DecisionLog.NONE, it) }
) {
    private val random = Random(seed)
    private val time = test.testTimeSource
    val zones = listOf("a", "b", "c")
    val platform = PlatformModel(time)
    val network = FakePeerNetwork(random)
    val instances = List(size) { Instance(entry(it)) }

    /** Number of times that an instance replaced a revision by a lower one. */
    var reverts = 0

    fun start() = instances.forEach { it.start() }

    fun now() = time.markNow()

    private fun entry(index: Int) = InstanceEntry(
        "proxy-${index + 1}",
        AvailabilityZone(zones[index % zones.size]),
        "127.0.0.1:${10_000 + index}"
    )

    inner class Instance(val entry: InstanceEntry) {
        private val id = InstanceId(entry.name)
        private val installedRevisions = HashMap<ServiceName, Long>()
        private var job: Job? = null
        private lateinit var startup: ConfigReadiness
        private lateinit var table: RecordTable
        lateinit var store: ConfigStore
        lateinit var age: RecordAge

        val isRunning get() = job?.isActive == true
        val isReady get() = isRunning && startup.isComplete

        fun revision(service: ServiceName) = table.records()[service]?.revision ?: 0

        fun record(service: ServiceName) = table.records()[service]

        fun stop() {
            job?.cancel()
            network.leave(entry)
        }

        fun start() {
            val node = node()
            installedRevisions.clear()
            age = RecordAge()
            lateinit var gossip: RecordGossip
            table = createTable { name, record ->
                if (record.revision < (installedRevisions[name] ?: 0)) reverts++
                installedRevisions[name] = record.revision
                gossip.push(name)
            }
            gossip = RecordGossip(node, table, age, network.peersOf(entry), random) { others() }
            startup = ConfigReadiness(gossip, time, ::others)
            store = ConfigStore(node.platform, Json, DecisionLog.NONE)
            network.join(entry) { gossip.handle(it) ?: PeerMessage.Done }
            job = test.backgroundScope.launch {
                launch {
                    ConfigWatcher(node, table, age, watchersPerZone, ::zoneIds)
                        .run(startup::onPlatformRead)
                }
                launch { gossip.run() }
            }
        }

        private fun others() = instances.filter { it !== this }.map { it.entry }

        private fun zoneIds() = instances
            .filter { (it.isRunning || it === this) && it.entry.zone == entry.zone }
            .map { it.id }

        private fun node() = NodeContext(
            instance = id,
            zone = entry.zone,
            platform = FakePlatform(platform, entry.zone),
            connector = BackendConnector { error("no backend servers here") },
            time = time,
            log = DecisionLog.NONE,
            format = Json,
            liveInstances = { instances.map { it.id } }
        )
    }

    /** A faulty table that installs whichever record it received last. */
    class LastReceivedTable(private val onInstalled: (ServiceName, ServiceRecord) -> Unit) :
        RecordTable {
        private val installed = HashMap<ServiceName, ServiceRecord>()

        override fun records() = installed.toMap()

        override fun install(
            service: ServiceName,
            record: ServiceRecord,
            origin: RecordOrigin
        ): Boolean {
            if (installed[service] == record) return false
            installed[service] = record
            onInstalled(service, record)
            return true
        }
    }
}
