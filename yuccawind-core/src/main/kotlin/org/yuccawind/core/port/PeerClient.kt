package org.yuccawind.core.port

import arrow.core.Either
import kotlin.time.Duration
import org.yuccawind.core.peer.PeerMessage

/** Client for calls to other instances. */
interface PeerClient {
    /** Sends [message] to the instance at [address] and awaits the reply for a bounded time. */
    suspend fun call(address: String, message: PeerMessage): Either<PeerError, PeerMessage>

    /** Sends [message] to the instance at [address] and awaits the reply for at most [limit]. */
    suspend fun call(
        address: String,
        message: PeerMessage,
        limit: Duration
    ): Either<PeerError, PeerMessage> = call(address, message)
}

/**
 * Reason why a call to a peer failed.
 *
 * @property detail one-line description for the logs
 */
data class PeerError(val detail: String)
