package org.yuccawind.core.link

import arrow.core.Either
import org.yuccawind.core.model.LogPoint

/** An open connection to a backend server, which replies to commands in order. */
interface ServerLink {
    /** False once the connection is closed. */
    val isOpen: Boolean

    /** End of the server's log when the connection was opened; null when not reported. */
    val initialPosition: LogPoint?

    /**
     * Sends [commands] in one batch and waits for all replies. Cancelling the caller closes the
     * link, because outstanding replies could otherwise be mistaken for replies to later ones.
     */
    suspend fun exchange(commands: List<LinkCommand>): Either<LinkLost, List<LinkReply>>

    /** Closes the connection; the server rolls an open transaction back. */
    fun close()
}

/**
 * The connection was closed before all replies arrived.
 *
 * @property detail cause in one line, for logs
 * @property wasSent false when no command of the batch was sent
 */
data class LinkLost(val detail: String, val wasSent: Boolean)
