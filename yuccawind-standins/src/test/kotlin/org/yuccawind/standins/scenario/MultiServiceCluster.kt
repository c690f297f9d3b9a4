package org.yuccawind.standins.scenario

import kotlin.time.Duration
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.testTimeSource
import kotlinx.serialization.json.Json
import org.yuccawind.core.config.BackendServerConfig
import org.yuccawind.core.config.ServiceConfig
import org.yuccawind.core.failover.PromotionPacer
import org.yuccawind.core.membership.Member
import org.yuccawind.core.membership.StaticClusterView
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.port.DecisionLog
import org.yuccawind.core.service.NodeContext
import org.yuccawind.core.service.ServiceRuntime
import org.yuccawind.standins.database.DatabaseFaults
import org.yuccawind.standins.database.DatabaseNode
import org.yuccawind.standins.database.DatabaseSettings
import org.yuccawind.standins.database.FakeBackendServer
import org.yuccawind.standins.platform.FakePlatform
import org.yuccawind.standins.platform.PlatformModel

/**
 * Many services over three zones with one instance per zone. Models the choice of primaries only,
 * without replication.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class MultiServiceCluster(
    private val test: TestScope,
    private val count: Int,
    private val timePerPromotion: Duration?
) {
    private val time = test.testTimeSource
    private val zones = listOf("a", "b", "c").map(::AvailabilityZone)
    private val nodes = HashMap<BackendServerName, DatabaseNode>()
    private val members = zones.mapIndexed { index, zone ->
        Member(InstanceId("proxy-$index"), zone)
    }
    val platform = PlatformModel(time)

    private val configs = List(count) { service ->
        ServiceConfig(ServiceName("service-$service"), zones.map { serverOf(service, it) })
    }

    fun start() {
        for (member in members) {
            val context = contextOf(member)
            configs.forEach { ServiceRuntime(it, 1, context).start(test.backgroundScope) }
        }
    }

    /** Freezes every database of the first zone, which contains all primaries. */
    fun loseZone() = nodes.filterKeys { it.value.endsWith("-a") }.values
        .forEach { it.inject(DatabaseFaults(frozen = true)) }

    /** Number of services whose primary is outside the lost zone. */
    fun failedOverCount() = nodes.filterKeys { !it.value.endsWith("-a") }.values
        .count { it.status().isPrimary }

    private fun serverOf(service: Int, zone: AvailabilityZone): BackendServerConfig {
        val name = BackendServerName("service-$service-$zone")
        nodes[name] = DatabaseNode(DatabaseSettings(), time)
        return BackendServerConfig(name, zone, "127.0.0.1:7001")
    }

    private fun contextOf(member: Member) = NodeContext(
        instance = member.instance,
        zone = member.zone,
        platform = FakePlatform(platform, member.zone),
        connector = { FakeBackendServer(it.name, nodes.getValue(it.name), member.zone) },
        time = time,
        log = DecisionLog.NONE,
        format = Json,
        liveInstances = { members.map { it.instance } },
        clusterView = StaticClusterView { members },
        promotionPacer = timePerPromotion?.let(::PromotionPacer) ?: PromotionPacer()
    )
}
