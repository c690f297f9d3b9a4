package org.yuccawind.core.membership

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.core.peer.ServiceEvidence
import org.yuccawind.core.port.InstanceEntry
import org.yuccawind.core.port.PeerClient
import org.yuccawind.core.service.NodeContext
import org.yuccawind.core.service.ServiceDirectory
import org.yuccawind.core.service.ServiceRuntime

private val HEARTBEAT_PERIOD = 500.milliseconds
private const val REPORTERS_PER_SERVICE = 8

/** Exchanges heartbeats with the other instances. */
class Heartbeats(
    private val node: NodeContext,
    private val membership: Membership,
    private val directory: ServiceDirectory,
    private val peers: PeerClient
) {
    /** True once this instance is shutting down. */
    @Volatile
    var isLeaving = false

    /** Sends heartbeats until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        while (true) {
            for (peer in membership.peers()) launch { sendHeartbeat(peer) }
            delay(HEARTBEAT_PERIOD)
        }
    }

    /** Sends one heartbeat to each peer and waits until each has replied or timed out. */
    suspend fun announce(): Unit = coroutineScope {
        for (peer in membership.peers()) launch { sendHeartbeat(peer) }
    }

    /** Records a peer's [heartbeat] and returns the reply. */
    fun handle(heartbeat: PeerMessage.Heartbeat): PeerMessage.Heartbeat {
        membership.recordHeartbeat(heartbeat)
        return currentHeartbeat()
    }

    private suspend fun sendHeartbeat(peer: InstanceEntry) {
        val reply = peers.call(peer.peerAddress, currentHeartbeat()).getOrNull()
        if (reply is PeerMessage.Heartbeat) membership.recordHeartbeat(reply)
    }

    private fun currentHeartbeat() = PeerMessage.Heartbeat(
        node.instance,
        node.zone,
        isLeaving,
        reportedEvidence()
    )

    /**
     * Returns the evidence that this instance reports. Only the first 8 ranks of a service and
     * instances with open transactions report on it, so that the total size of the reports does not
     * grow with the number of instances.
     */
    private fun reportedEvidence(): List<ServiceEvidence> {
        val members = node.clusterView.members()
        return directory.records().keys
            .mapNotNull(directory::find)
            .filter { isReporter(it, members) }
            .map(::evidenceOf)
    }

    private fun isReporter(runtime: ServiceRuntime, members: List<Member>): Boolean {
        if (members.size <= REPORTERS_PER_SERVICE) return true
        if (runtime.transactions.size > 0) return true
        val rank = Rendezvous.zoneBalancedRank(runtime.config.name.value, node.instance, members)
        return rank < REPORTERS_PER_SERVICE
    }

    private fun evidenceOf(runtime: ServiceRuntime): ServiceEvidence {
        val newest = runtime.context.evidence.newestCertificate()
        return ServiceEvidence(
            runtime.config.name,
            newest?.end?.term ?: 0,
            newest?.since?.elapsedNow()?.inWholeMilliseconds ?: 0,
            runtime.transactions.size
        )
    }
}
