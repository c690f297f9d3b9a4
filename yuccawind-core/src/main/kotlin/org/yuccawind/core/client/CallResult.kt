package org.yuccawind.core.client

import kotlin.time.Duration
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.group.GroupServer
import org.yuccawind.core.link.LinkCommand
import org.yuccawind.core.link.LinkReply
import org.yuccawind.core.link.PooledLink

/** What became of a batch of commands. */
internal sealed interface CallResult {
    /** All were answered; [last] is the answer to the command that counts. */
    data class Answered(val last: LinkReply) : CallResult

    /** The connection ended; nothing had left when [wasSent] is false. */
    data class Lost(val detail: String, val wasSent: Boolean) : CallResult

    /** The time for an answer ran out; the connection is closed. */
    data object TimedOut : CallResult
}

/** Sends [commands] on [link] and waits at most [limit]; a late answer finds no reader. */
internal suspend fun GroupServer.call(
    link: PooledLink,
    commands: List<LinkCommand>,
    limit: Duration
): CallResult {
    val result = withTimeoutOrNull(limit) { exchange(link, commands) }
    if (result == null) {
        recordFailure()
        link.close()
        return CallResult.TimedOut
    }
    return result.fold(
        { CallResult.Lost(it.detail, it.wasSent) },
        { CallResult.Answered(outcomeOf(it)) }
    )
}

/** After a refusal the rest of a batch is refused for its sake, so the first one says why. */
private fun outcomeOf(replies: List<LinkReply>): LinkReply {
    val last = replies.last()
    val first = replies.first { !it.isDone || it === last }
    return if (last.isDone) last else first.copy(state = last.state, position = last.position)
}
