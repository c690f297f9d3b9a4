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
    reportAfter(LinkCommand.Status, timeout)

/** Makes the replica reject log entries of terms below [term]. Returns its status, or null. */
internal suspend fun GroupServer.pause(term: Long, timeout: Duration): ServerReport? =
    reportAfter(LinkCommand.Pause(term), timeout)

/** Resumes replication on a paused replica. Returns its status, or null. */
internal suspend fun GroupServer.resume(timeout: Duration): ServerReport? =
    reportAfter(LinkCommand.Resume, timeout)

/** Demotes the primary if its term is below [term]. Returns its status, or null. */
internal suspend fun GroupServer.stepDown(term: Long, timeout: Duration): ServerReport? =
    reportAfter(LinkCommand.StepDown(term), timeout)

/** Updates [GroupServer.position] by a rollback without effect, whose answer carries it. */
internal suspend fun GroupServer.refreshPosition() {
    answerTo(LinkCommand.Rollback, POSITION_TIMEOUT)
}

private suspend fun GroupServer.reportAfter(command: LinkCommand, timeout: Duration) =
    answerTo(command, timeout)?.report

private suspend fun GroupServer.answerTo(command: LinkCommand, timeout: Duration): LinkReply? {
    val link = acquire(timeout, LinkUrgency.PROBE)?.getOrNull() ?: return null
    try {
        val replies = withTimeoutOrNull(timeout) { exchange(link, listOf(command)) }
        if (replies == null) link.close()
        return replies?.getOrNull()?.last()
    } finally {
        release(link)
    }
}
