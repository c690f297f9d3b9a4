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
 * What all services of one instance share.
 *
 * @property instance this instance
 * @property zone its availability zone
 * @property platform the platform's key-value service
 * @property connector makes a backend server from its configuration
 * @property time the clock
 * @property log receives a line for each decision
 * @property format text form of records in the platform
 * @property liveInstances instances believed alive, this one included
 * @property clusterView what is known about the other instances and leaving servers
 * @property detection how a primary comes under suspicion
 * @property readPolicy how reads choose a server
 * @property handoverNotifier asks the other instances to hold writes back during a handover
 * @property promotionPacer spreads the promotions of services that lose their primaries together
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

/** Makes the adapter of a backend server. */
fun interface BackendConnector {
    /** A server reached at the address that [config] gives. */
    fun connect(config: BackendServerConfig): BackendServer
}
