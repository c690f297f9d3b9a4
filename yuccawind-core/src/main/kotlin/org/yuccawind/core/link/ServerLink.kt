package org.yuccawind.core.link

import arrow.core.Either
import org.yuccawind.core.model.LogPoint

/** An open connection to a backend server. Commands are answered in order. */
interface ServerLink {
    /** False once the connection has ended. */
    val isOpen: Boolean

    /** End of the server's log when the connection was opened; null when it told none. */
    val firstPosition: LogPoint?

    /**
     * Sends [commands] in one batch and waits for all answers. A caller that is cancelled closes
     * the link: answers still to come have no reader.
     */
    suspend fun exchange(commands: List<LinkCommand>): Either<LinkLost, List<LinkReply>>

    /** Closes the connection; the server rolls an open transaction back. */
    fun close()
}

/**
 * The connection ended before all answers were had.
 *
 * @property detail one line for the logs
 * @property wasSent false when nothing left this process
 */
data class LinkLost(val detail: String, val wasSent: Boolean)
