package org.yuccawind.standins.config

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.core.port.InstanceEntry
import org.yuccawind.core.port.PeerClient
import org.yuccawind.core.port.PeerError

/** A simulated network between instances that delays, reorders and loses messages at random. */
class FakePeerNetwork(private val random: Random) {
    private val handlers = HashMap<String, (PeerMessage) -> PeerMessage>()
    private val zones = HashMap<String, String>()

    /** Zones that are cut off from all other zones. */
    var cutZones: Set<String> = emptySet()

    /** Percentage of messages that are lost. */
    var lossPercent = 0

    /** Percentage of messages with a long delay, which many later ones can overtake. */
    var reorderPercent = 0

    /** Number of messages delivered. */
    var delivered = 0L

    fun join(entry: InstanceEntry, handler: (PeerMessage) -> PeerMessage) {
        handlers[entry.peerAddress] = handler
        zones[entry.peerAddress] = entry.zone.value
    }

    fun leave(entry: InstanceEntry) {
        handlers.remove(entry.peerAddress)
    }

    fun peersOf(entry: InstanceEntry) = object : PeerClient {
        override suspend fun call(
            address: String,
            message: PeerMessage
        ): Either<PeerError, PeerMessage> {
            if (!deliver(entry.peerAddress, address)) return lostReply()
            val reply = handlers[address]?.invoke(message) ?: return lostReply()
            return if (deliver(address, entry.peerAddress)) reply.right() else lostReply()
        }
    }

    private suspend fun deliver(from: String, to: String): Boolean {
        delay(
            random.nextLong(1, if (random.nextInt(100) < reorderPercent) 900 else 12).milliseconds
        )
        val isCut = zones[from] != zones[to] && (zones[from] in cutZones || zones[to] in cutZones)
        if (isCut || random.nextInt(100) < lossPercent) return false
        delivered++
        return true
    }

    private suspend fun lostReply(): Either<PeerError, PeerMessage> {
        delay(1_000.milliseconds)
        return PeerError("no reply").left()
    }
}
