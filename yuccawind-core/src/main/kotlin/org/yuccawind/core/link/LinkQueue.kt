package org.yuccawind.core.link

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource
import kotlinx.coroutines.CompletableDeferred

/**
 * How much a caller needs a link.
 *
 * @property goal when its client wants the answer; null for a caller that goes before all clients
 * @property priority the client's priority, 0 for the highest
 */
data class LinkUrgency(val goal: ComparableTimeMark?, val priority: Int) {
    companion object {
        /** Probes: what they find out decides about all the others. */
        val PROBE = LinkUrgency(goal = null, priority = 0)
    }
}

/**
 * Callers that wait for a link to one server.
 *
 * The load this answers: a server is asked for more than it can do, as the only one that is up to
 * date while its replicas lag. First come, first served then answers everybody after the goal has
 * passed. Here callers whose goal can still be met go first, by priority and then by arrival; the
 * others get what is left over, the oldest first.
 *
 * @param answerTime time that an answer is expected to take once a link is had
 */
internal class LinkQueue(
    private val time: TimeSource.WithComparableMarks,
    private val answerTime: () -> Duration
) {
    private val waiters = ArrayList<LinkWaiter>()

    /** Callers that wait. */
    val size get() = waiters.size

    /** Adds a caller. */
    fun add(urgency: LinkUrgency) = LinkWaiter(urgency).also { waiters += it }

    /** Takes a caller out; false when it is no longer in. */
    fun remove(waiter: LinkWaiter) = waiters.remove(waiter)

    /** Gives [link] to the caller that goes first; false when nobody waits. */
    fun give(link: PooledLink): Boolean {
        while (waiters.isNotEmpty()) {
            if (takeNext().complete(link.right())) return true
        }
        return false
    }

    /** Tells the caller that goes first that there is no link, if one waits. */
    fun failNext(error: OpenError) {
        if (waiters.isNotEmpty()) takeNext().complete(error.left())
    }

    private fun takeNext(): LinkWaiter {
        val latestStart = time.markNow() + answerTime()
        val next = waiters.minWith(
            compareBy({
                rankOf(it.urgency, latestStart)
            }, { it.urgency.priorityIfMet(latestStart) })
        )
        waiters.remove(next)
        return next
    }

    private fun rankOf(urgency: LinkUrgency, latestStart: ComparableTimeMark) = when {
        urgency.goal == null -> 0
        urgency.goal >= latestStart -> 1
        else -> 2
    }

    private fun LinkUrgency.priorityIfMet(latestStart: ComparableTimeMark) =
        if (goal != null && goal < latestStart) 0 else priority
}

/**
 * A caller that waits for a link.
 *
 * @property urgency how much it needs one
 */
internal class LinkWaiter(val urgency: LinkUrgency) {
    /** Completes with a link, or with the reason why there is none. */
    val result = CompletableDeferred<Either<OpenError, PooledLink>>()

    /** Hands the outcome over; false when nobody waits for it any more. */
    fun complete(outcome: Either<OpenError, PooledLink>) = result.complete(outcome)
}
