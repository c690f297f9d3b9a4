package org.yuccawind.core.membership

import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.core.peer.ServiceEvidence
import org.yuccawind.core.port.InstanceEntry

private val HEARTBEAT_TIMEOUT = 2_000.milliseconds

/**
 * Tracks which instances are alive, based on the peers' heartbeats, and which are leaving, based on
 * heartbeats and the platform's instance list. The list may lag behind.
 */
class Membership(
    private val self: InstanceId,
    private val time: TimeSource.WithComparableMarks,
    private val zone: AvailabilityZone
) : ClusterView {
    private val heartbeats = ConcurrentHashMap<InstanceId, ReceivedHeartbeat>()

    @Volatile
    private var list = ListSnapshot(emptyList(), emptyMap(), time.markNow())

    /** The platform's instance list as last read. */
    val entries: List<InstanceEntry> get() = list.entries

    /** Replaces the platform's instance list by [entries]. */
    fun updateList(entries: List<InstanceEntry>) {
        val now = time.markNow()
        val known = list.leavingSince
        val leaving = entries.filter { it.leaving }.associate { it.name to (known[it.name] ?: now) }
        list = ListSnapshot(entries, leaving, now)
    }

    /** Records that the instance list has not changed. */
    fun confirmList() = updateList(list.entries)

    /** Records a peer's heartbeat and the evidence in it. */
    fun recordHeartbeat(heartbeat: PeerMessage.Heartbeat) {
        heartbeats[heartbeat.instance] = ReceivedHeartbeat(heartbeat, time.markNow())
    }

    /** Returns the other instances on the list that have a peer address. */
    fun peers(): List<InstanceEntry> =
        list.entries.filter { it.peerAddress.isNotEmpty() && it.name != self.value }

    /** Returns the peer address of [instance], or null if the list does not contain it. */
    fun addressOf(instance: InstanceId): String? =
        peers().find { it.name == instance.value }?.peerAddress

    /** Returns the live instances that are not leaving, including this one. */
    fun live(): List<InstanceId> = members().map { it.instance }

    override fun members(): List<Member> {
        val others = recentHeartbeats().filterNot { it.leaving || isLeaving(it.instance.value) }
        return others.map { Member(it.instance, it.zone) } + Member(self, zone)
    }

    /** Returns true if the list shows [name] as leaving. */
    fun isLeaving(name: String): Boolean = name in list.leavingSince

    override fun leavingFor(server: BackendServerName): Duration? {
        val snapshot = list
        return snapshot.leavingSince[server.value]?.let { snapshot.readAt - it }
    }

    override fun peerWithCertificate(service: ServiceName, age: Duration): InstanceId? =
        heartbeats.entries.firstOrNull { (_, received) ->
            val evidence = received.evidenceOf(service)
            evidence != null && evidence.ageMs.milliseconds + received.receivedAt.elapsedNow() < age
        }?.key

    override fun openTransactions(service: ServiceName): Int =
        recentHeartbeats().sumOf { heartbeat ->
            heartbeat.services.find { it.service == service }?.transactions ?: 0
        }

    private fun recentHeartbeats(): List<PeerMessage.Heartbeat> = heartbeats.values
        .filter { it.receivedAt.elapsedNow() < HEARTBEAT_TIMEOUT }
        .map { it.heartbeat }

    private class ReceivedHeartbeat(
        val heartbeat: PeerMessage.Heartbeat,
        val receivedAt: ComparableTimeMark
    ) {
        fun evidenceOf(service: ServiceName): ServiceEvidence? =
            heartbeat.services.find { it.service == service && it.term > 0 }
    }

    /**
     * A version of the instance list.
     *
     * @property leavingSince when each leaving entry was first read as leaving
     * @property readAt when the list was last read or confirmed
     */
    private class ListSnapshot(
        val entries: List<InstanceEntry>,
        val leavingSince: Map<String, ComparableTimeMark>,
        val readAt: ComparableTimeMark
    )
}
