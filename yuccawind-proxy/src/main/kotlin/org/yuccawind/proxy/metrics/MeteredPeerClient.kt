package org.yuccawind.proxy.metrics

import arrow.core.Either
import kotlin.time.Duration
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.core.port.PeerClient
import org.yuccawind.core.port.PeerError

/** Counts the calls to [next] by message type and result. */
internal class MeteredPeerClient(private val next: PeerClient, private val metrics: Metrics) :
    PeerClient {
    override suspend fun call(
        address: String,
        message: PeerMessage
    ): Either<PeerError, PeerMessage> = counted(message, next.call(address, message))

    override suspend fun call(
        address: String,
        message: PeerMessage,
        limit: Duration
    ): Either<PeerError, PeerMessage> = counted(message, next.call(address, message, limit))

    private fun counted(
        message: PeerMessage,
        reply: Either<PeerError, PeerMessage>
    ): Either<PeerError, PeerMessage> {
        val type = message::class.simpleName.orEmpty().lowercase()
        metrics.recordPeerCall(type, if (reply.isRight()) "ok" else "no_reply")
        return reply
    }
}
