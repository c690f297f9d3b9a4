package org.yuccawind.core.group

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.link.LinkCommand
import org.yuccawind.core.link.LinkReply
import org.yuccawind.core.link.LinkUrgency

/** Timeout of a request for a server's log position, which takes no statement slot. */
private val POSITION_TIMEOUT = 300.milliseconds

/** Returns the server's status, or null if it did not answer within [timeout]. */
internal suspend fun GroupServer.report(timeout: Duration): ServerReport? =
    reportAfter(listOf(LinkCommand.Status), timeout)

/**
 * Makes the replica reject log entries of terms below [term]. Returns its status afterwards, or
 * null. A server that knows [term] or a later one is not paused.
 */
internal suspend fun GroupServer.pause(term: Long, timeout: Duration): ServerReport? =
    reportAfter(listOf(LinkCommand.Pause(term), LinkCommand.Status), timeout)

/** Resumes replication on a paused replica. Returns its status, or null. */
internal suspend fun GroupServer.resume(timeout: Duration): ServerReport? =
    reportAfter(listOf(LinkCommand.Resume), timeout)

/** Demotes the primary if its term is below [term]. Returns its status, or null. */
internal suspend fun GroupServer.stepDown(term: Long, timeout: Duration): ServerReport? =
    reportAfter(listOf(LinkCommand.StepDown(term)), timeout)

/** Updates [GroupServer.position] by a rollback without effect, whose answer carries it. */
internal suspend fun GroupServer.refreshPosition() {
    answerTo(listOf(LinkCommand.Rollback), POSITION_TIMEOUT)
}

private suspend fun GroupServer.reportAfter(commands: List<LinkCommand>, timeout: Duration) =
    answerTo(commands, timeout)?.report

/** Returns the reply to the last of [commands], or null if the server does not answer in time. */
private suspend fun GroupServer.answerTo(
    commands: List<LinkCommand>,
    timeout: Duration
): LinkReply? {
    val link = acquire(timeout, LinkUrgency.PROBE)?.getOrNull() ?: return null
    try {
        val replies = withTimeoutOrNull(timeout) { exchange(link, commands) }
        if (replies == null) link.close()
        return replies?.getOrNull()?.last()
    } finally {
        release(link)
    }
}
