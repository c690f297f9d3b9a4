package org.yuccawind.core.peer

/** Handles messages from other instances. */
fun interface PeerHandler {
    /** Handles [message] and returns the reply. */
    suspend fun handle(message: PeerMessage): PeerMessage
}
