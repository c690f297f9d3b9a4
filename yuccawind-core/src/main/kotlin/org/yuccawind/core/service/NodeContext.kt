package org.yuccawind.core.service

import kotlin.time.TimeSource
import kotlinx.serialization.StringFormat
import org.yuccawind.core.config.BackendServerConfig
import org.yuccawind.core.failover.DetectionPolicy
import org.yuccawind.core.failover.HandoverNotifier
import org.yuccawind.core.failover.PromotionPacer
import org.yuccawind.core.membership.ClusterView
import org.yuccawind.core.membership.Member
import org.yuccawind.core.membership.StaticClusterView
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.port.BackendServer
import org.yuccawind.core.port.DecisionLog
import org.yuccawind.core.port.Platform
import org.yuccawind.core.read.ReadPolicy

/**
 * Dependencies shared by all services of one instance.
 *
 * @property instance this instance
 * @property zone availability zone of this instance
 * @property platform client of the platform's key-value service
 * @property connector creates the client of a backend server from its configuration
 * @property time clock
 * @property log records routing and placement decisions
 * @property format serialization format of records in the platform
 * @property liveInstances returns the instances considered live, including this one
 * @property clusterView state of the other instances and of servers that are leaving
 * @property detection policy that decides when a primary is suspected of failure
 * @property readPolicy policy that selects the server of a read
 * @property handoverNotifier asks the other instances to hold new writes during a handover
 * @property promotionPacer staggers the promotions of services that lose their primaries together
 */
class NodeContext(
    val instance: InstanceId,
    val zone: AvailabilityZone,
    val platform: Platform,
    val connector: BackendConnector,
    val time: TimeSource.WithComparableMarks,
    val log: DecisionLog,
    val format: StringFormat,
    val liveInstances: () -> List<InstanceId>,
    val clusterView: ClusterView = StaticClusterView {
        liveInstances().map { Member(it, zone) }
    },
    val detection: DetectionPolicy = DetectionPolicy.Adaptive(),
    val readPolicy: ReadPolicy = ReadPolicy.Predicted(),
    val handoverNotifier: HandoverNotifier = HandoverNotifier.NONE,
    val promotionPacer: PromotionPacer = PromotionPacer()
)

/** Creates clients of backend servers. */
fun interface BackendConnector {
    /** Returns the client of the server at the address in [config]. */
    fun connect(config: BackendServerConfig): BackendServer
}
