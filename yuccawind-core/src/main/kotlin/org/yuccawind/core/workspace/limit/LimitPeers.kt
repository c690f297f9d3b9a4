package org.yuccawind.core.workspace.limit

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.yuccawind.core.fleet.FleetView
import org.yuccawind.core.membership.Rendezvous
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.core.port.DecisionLog
import org.yuccawind.core.port.InstanceEntry
import org.yuccawind.core.port.PeerClient

/** Time for which an instance counts as silent after its first missing reply. */
private val FIRST_SILENT_TIME = 200.milliseconds

/** Greatest time for which an instance counts as silent; each missing reply doubles the time. */
private val MAX_SILENT_TIME = 1_600.milliseconds

/** Instances of the fleet as the limits see them: who is listed, who answers, who comes first. */
class LimitPeers(
    val fleet: FleetView,
    private val peers: PeerClient,
    private val time: TimeSource.WithComparableMarks,
    private val log: DecisionLog
) {
    private val silences = HashMap<String, Silence>()
    private var orderedFor: List<InstanceEntry> = emptyList()
    private val orders = HashMap<Int, List<String>>()

    /** Name of this instance. */
    val self: String get() = fleet.self.name

    /** Names of all listed instances but this one. */
    val others: List<String> get() = fleet.instances.map { it.name }.filter { it != self }

    /** Returns true if [name] is on the platform's list. */
    fun isListed(name: String) = entryOf(name) != null

    /** Returns true if [name] didn't reply of late. */
    fun isSilent(name: String) = silences[name]?.let { !it.until.hasPassedNow() } == true

    /** Returns true if [name] is listed and replied to the last call, if there was one. */
    fun answers(name: String) = isListed(name) && name !in silences

    /** Returns the instance that keeps [shard] if none does yet. */
    fun firstFor(shard: Int): String? {
        if (orderedFor !== fleet.instances) {
            orderedFor = fleet.instances
            orders.clear()
            silences.keys.retainAll(orderedFor.mapTo(HashSet()) { it.name })
        }
        return orders.getOrPut(shard) { orderOf(shard) }.firstOrNull { !isSilent(it) }
    }

    /** Calls the instance [name]. Returns its reply, or null if it gave none in [limit]. */
    suspend fun call(name: String, message: PeerMessage, limit: Duration): PeerMessage? {
        val address = entryOf(name)?.peerAddress.orEmpty()
        if (address.isEmpty()) return null
        return peers.call(address, message, limit).fold({
            onMissingReply(name, it.detail)
            null
        }, {
            silences.remove(name)
            it
        })
    }

    private fun onMissingReply(name: String, reason: String) {
        if (isSilent(name)) return
        val last = silences[name]?.length
        if (last == null) log.record("limit_peer_silent", "instance" to name, "reason" to reason)
        val length = if (last == null) FIRST_SILENT_TIME else minOf(last * 2, MAX_SILENT_TIME)
        silences[name] = Silence(time.markNow() + length, length)
    }

    private fun entryOf(name: String) = fleet.instances.firstOrNull { it.name == name }

    private fun orderOf(shard: Int) =
        Rendezvous.order("limits-$shard", fleet.instances.map { InstanceId(it.name) })
            .map { it.value }

    private class Silence(val until: ComparableTimeMark, val length: Duration)
}
