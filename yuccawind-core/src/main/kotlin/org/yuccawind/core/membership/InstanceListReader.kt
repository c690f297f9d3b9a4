package org.yuccawind.core.membership

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.core.port.InstanceEntry
import org.yuccawind.core.port.PeerClient
import org.yuccawind.core.service.NodeContext

private val REFRESH_PERIOD = 300.milliseconds
private const val READERS_PER_ZONE = 2
private const val RANK_KEY = "instance-list"

/**
 * Keeps the platform's instance list up to date. Two instances of each availability zone read it
 * from the platform; the others read it from these two, so that the load on the platform does not
 * grow with the number of instances.
 */
class InstanceListReader(
    private val node: NodeContext,
    private val membership: Membership,
    private val peers: PeerClient
) {
    /** Refreshes the list until cancelled. */
    suspend fun run() {
        while (true) {
            if (!readFromPeers()) node.platform.instances().onRight(membership::updateList)
            delay(REFRESH_PERIOD)
        }
    }

    /** Returns the reply to a peer whose list has the digest in [wanted]. */
    fun handle(wanted: PeerMessage.ListWanted): PeerMessage {
        val entries = membership.entries
        return when {
            entries.isEmpty() -> PeerMessage.Done
            wanted.digest == entries.hashCode() -> PeerMessage.ListUnchanged
            else -> PeerMessage.InstanceList(entries)
        }
    }

    private suspend fun readFromPeers(): Boolean {
        val readers = readers()
        if (node.instance.value in readers) return false
        return readers.mapNotNull(::findPeer).any { fetchFrom(it) }
    }

    private fun readers(): List<String> {
        val zoneMembers = membership.members().filter { it.zone == node.zone }.map { it.instance }
        return Rendezvous.order(RANK_KEY, zoneMembers).take(READERS_PER_ZONE).map { it.value }
    }

    private fun findPeer(name: String): InstanceEntry? = membership.peers().find { it.name == name }

    private suspend fun fetchFrom(peer: InstanceEntry): Boolean {
        val wanted = PeerMessage.ListWanted(membership.entries.hashCode())
        return when (val reply = peers.call(peer.peerAddress, wanted).getOrNull()) {
            is PeerMessage.InstanceList -> true.also { membership.updateList(reply.entries) }
            is PeerMessage.ListUnchanged -> true.also { membership.confirmList() }
            else -> false
        }
    }
}
