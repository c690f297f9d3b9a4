package org.yuccawind.core.membership

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.core.port.InstanceEntry
import org.yuccawind.core.port.PeerClient
import org.yuccawind.core.service.NodeContext

private val LIST_PERIOD = 300.milliseconds
private const val READERS_PER_ZONE = 2
private const val RANK_KEY = "instance-list"

/**
 * Keeps the platform's list of instances up to date. A few instances of each availability zone
 * read it from the platform and the others from them, so that the platform's calls do not grow
 * with the fleet.
 */
class InstanceListReader(
    private val node: NodeContext,
    private val membership: Membership,
    private val peers: PeerClient
) {
    /** Reads until cancelled. */
    suspend fun run() {
        while (true) {
            if (!readFromPeers()) node.platform.instances().onRight(membership::list)
            delay(LIST_PERIOD)
        }
    }

    /** The reply to a peer that holds the list with [digest]. */
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
        return readers.mapNotNull(::peer).any { ask(it) }
    }

    private fun readers(): List<String> {
        val zone = membership.members().filter { it.zone == node.zone }.map { it.instance }
        return Rendezvous.order(RANK_KEY, zone).take(READERS_PER_ZONE).map { it.value }
    }

    private fun peer(name: String): InstanceEntry? = membership.peers().find { it.name == name }

    private suspend fun ask(peer: InstanceEntry): Boolean {
        val wanted = PeerMessage.ListWanted(membership.entries.hashCode())
        return when (val reply = peers.call(peer.peerAddress, wanted).getOrNull()) {
            is PeerMessage.InstanceList -> true.also { membership.list(reply.entries) }
            is PeerMessage.ListUnchanged -> true.also { membership.confirmList() }
            else -> false
        }
    }
}
