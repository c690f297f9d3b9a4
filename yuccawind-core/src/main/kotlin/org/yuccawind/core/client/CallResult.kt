package org.yuccawind.core.client

import kotlin.time.Duration
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.group.GroupServer
import org.yuccawind.core.link.LinkCommand
import org.yuccawind.core.link.LinkReply
import org.yuccawind.core.link.PooledLink

/** Outcome of a batch of commands sent to a backend server. */
internal sealed interface CallResult {
    /**
     * All commands were answered.
     *
     * @property last reply to the last command, with the first error of the batch if one failed
     */
    data class Answered(val last: LinkReply) : CallResult

    /**
     * The connection was closed before all replies arrived.
     *
     * @property detail cause of the loss, for logs
     * @property wasSent false when nothing of the batch was sent
     */
    data class Lost(val detail: String, val wasSent: Boolean) : CallResult

    /** The time limit expired before all replies arrived; the connection has been closed. */
    data object TimedOut : CallResult
}

/**
 * Sends [commands] on [link] and waits at most [limit] for the replies. On a timeout the link is
 * closed, so that a late reply cannot be mistaken for the reply to a later command.
 */
internal suspend fun GroupServer.call(
    link: PooledLink,
    commands: List<LinkCommand>,
    limit: Duration
): CallResult {
    if (limit <= Duration.ZERO) return CallResult.Lost("no time left", wasSent = false)
    val result = withTimeoutOrNull(limit) { exchange(link, commands) }
    if (result == null) {
        recordFailure()
        link.close()
        return CallResult.TimedOut
    }
    return result.fold(
        { CallResult.Lost(it.detail, it.wasSent) },
        { CallResult.Answered(decisiveReply(it)) }
    )
}

/**
 * Returns the last reply, or the first error of the batch: once a command of a batch fails, the
 * server rejects the remaining ones as a consequence, and only the first error names the cause.
 */
private fun decisiveReply(replies: List<LinkReply>): LinkReply {
    val last = replies.last()
    val first = replies.first { !it.isDone || it === last }
    return if (last.isDone) last else first.copy(state = last.state, position = last.position)
}
