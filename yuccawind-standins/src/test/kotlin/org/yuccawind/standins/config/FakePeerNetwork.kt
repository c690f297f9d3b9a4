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

/** Messages between instances of a test: random delays reorder them, and they may be lost. */
class FakePeerNetwork(private val random: Random) {
    private val handlers = HashMap<String, (PeerMessage) -> PeerMessage>()
    private val zones = HashMap<String, String>()

    /** Zones that exchange nothing with other zones. */
    var cutZones: Set<String> = emptySet()

    /** Messages lost out of a hundred. */
    var lossPercent = 0

    /** Messages out of a hundred that may be overtaken by many later ones. */
    var latePercent = 0

    /** Messages delivered so far. */
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
            if (!passes(entry.peerAddress, address)) return lost()
            val reply = handlers[address]?.invoke(message) ?: return lost()
            return if (passes(address, entry.peerAddress)) reply.right() else lost()
        }
    }

    private suspend fun passes(from: String, to: String): Boolean {
        delay(random.nextLong(1, if (random.nextInt(100) < latePercent) 900 else 12).milliseconds)
        val isCut = zones[from] != zones[to] && (zones[from] in cutZones || zones[to] in cutZones)
        if (isCut || random.nextInt(100) < lossPercent) return false
        delivered++
        return true
    }

    private suspend fun lost(): Either<PeerError, PeerMessage> {
        delay(1_000.milliseconds)
        return PeerError("no reply").left()
    }
}
