package org.yuccawind.core.group

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.link.LinkCommand
import org.yuccawind.core.link.LinkReply
import org.yuccawind.core.link.LinkUrgency

/** Time for a look at a server's log; it takes no statement slot. */
private val LOOK_LIMIT = 300.milliseconds

/** How the server says that it stands; null when it did not within [limit]. */
internal suspend fun GroupServer.report(limit: Duration): ServerReport? =
    reportAfter(LinkCommand.Status, limit)

/** Stops the replica from receiving, below [term]; its report after that, or null. */
internal suspend fun GroupServer.pause(term: Long, limit: Duration): ServerReport? =
    reportAfter(LinkCommand.Pause(term), limit)

/** Lets the replica receive again. */
internal suspend fun GroupServer.resume(limit: Duration): ServerReport? =
    reportAfter(LinkCommand.Resume, limit)

/** Makes the primary a replica if its term is below [term]; its report after that, or null. */
internal suspend fun GroupServer.stepDown(term: Long, limit: Duration): ServerReport? =
    reportAfter(LinkCommand.StepDown(term), limit)

/** Asks how far the server's log is, which its answer shows. */
internal suspend fun GroupServer.lookAt() {
    answerTo(LinkCommand.Rollback, LOOK_LIMIT)
}

private suspend fun GroupServer.reportAfter(command: LinkCommand, limit: Duration) =
    answerTo(command, limit)?.report

private suspend fun GroupServer.answerTo(command: LinkCommand, limit: Duration): LinkReply? {
    val link = acquire(limit, LinkUrgency.PROBE)?.getOrNull() ?: return null
    try {
        val replies = withTimeoutOrNull(limit) { exchange(link, listOf(command)) }
        if (replies == null) link.close()
        return replies?.getOrNull()?.last()
    } finally {
        release(link)
    }
}
