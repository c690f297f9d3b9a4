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
private const val WITNESSES_PER_SERVICE = 8

/** Exchanges heartbeats with the other instances. */
class Heartbeats(
    private val node: NodeContext,
    private val membership: Membership,
    private val directory: ServiceDirectory,
    private val peers: PeerClient
) {
    /** Set once this instance is leaving. */
    @Volatile
    var isLeaving = false

    /** Sends until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        while (true) {
            for (peer in membership.peers()) launch { greet(peer) }
            delay(HEARTBEAT_PERIOD)
        }
    }

    /** Tells every peer once, and waits until each replied or its time has passed. */
    suspend fun announce(): Unit = coroutineScope {
        for (peer in membership.peers()) launch { greet(peer) }
    }

    /** The reply to a peer's [heartbeat]. */
    fun handle(heartbeat: PeerMessage.Heartbeat): PeerMessage.Heartbeat {
        membership.hear(heartbeat)
        return current()
    }

    private suspend fun greet(peer: InstanceEntry) {
        val reply = peers.call(peer.peerAddress, current()).getOrNull()
        if (reply is PeerMessage.Heartbeat) membership.hear(reply)
    }

    private fun current() = PeerMessage.Heartbeat(
        node.instance,
        node.zone,
        isLeaving,
        evidence()
    )

    /** Only the first ranks of a service report on it: the size stays the same in large fleets. */
    private fun evidence(): List<ServiceEvidence> {
        val members = node.surroundings.members()
        return directory.records().keys
            .mapNotNull(directory::find)
            .filter { isWitness(it, members) }
            .map(::evidenceOf)
    }

    private fun isWitness(runtime: ServiceRuntime, members: List<Member>): Boolean {
        if (members.size <= WITNESSES_PER_SERVICE) return true
        if (runtime.transactions.size > 0) return true
        val rank = Rendezvous.spreadRank(runtime.config.name.value, node.instance, members)
        return rank < WITNESSES_PER_SERVICE
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
