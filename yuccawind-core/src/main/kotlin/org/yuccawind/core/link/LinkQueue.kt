package org.yuccawind.core.link

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource
import kotlinx.coroutines.CompletableDeferred
import org.yuccawind.core.load.LoadKind
import org.yuccawind.core.workspace.Caller
import org.yuccawind.core.workspace.WorkspaceName

/**
 * Scheduling parameters of a caller that waits for a link.
 *
 * @property goal time by which its client should have the answer; null for a caller that takes
 *   precedence over all clients
 * @property priority priority of the route; 0 is the highest
 * @property caller who sends the operation; only a link of its workspace may run it
 * @property kind kind of the statements, whose answer times are compared with each other
 */
data class LinkUrgency(
    val goal: ComparableTimeMark?,
    val priority: Int,
    val caller: Caller = Caller.Anonymous,
    val kind: LoadKind = LoadKind.OTHER
) {
    companion object {
        /** For probes: they take precedence because routing depends on their results. */
        val PROBE = LinkUrgency(goal = null, priority = 0)
    }
}

/**
 * Queue of the callers that wait for a link to one server.
 *
 * The order matters when a server is overloaded, for example as the only one that is up to date
 * while all replicas lag: first come, first served would then answer every caller too late. So
 * callers whose latency goal can still be met come first, by priority and then by arrival. The
 * others share the remaining capacity in the order of arrival.
 *
 * @param answerTime expected time from the acquisition of a link to the server's answer
 */
internal class LinkQueue(
    private val time: TimeSource.WithComparableMarks,
    private val answerTime: () -> Duration
) {
    private val waiters = ArrayList<LinkWaiter>()

    /** Number of waiting callers. */
    val size get() = waiters.size

    /** Adds a waiting caller. */
    fun add(urgency: LinkUrgency) = LinkWaiter(urgency).also { waiters += it }

    /** Removes a caller. Returns false if it is no longer queued. */
    fun remove(waiter: LinkWaiter) = waiters.remove(waiter)

    /**
     * Hands [link] to the first caller of its workspace that accepts it. Returns false if none
     * does.
     */
    fun handOff(link: PooledLink): Boolean {
        while (true) {
            val next = removeNext { it == link.workspace } ?: return false
            if (next.complete(link.right())) return true
        }
    }

    /** Completes the first caller, if any, with [error]. */
    fun failNext(error: OpenError) {
        removeNext { true }?.complete(error.left())
    }

    /** Completes the first caller of [workspace], if any, with [error]. */
    fun failNextOf(workspace: WorkspaceName?, error: OpenError) {
        removeNext { it == workspace }?.complete(error.left())
    }

    /**
     * Returns the first caller for which no connection is being opened, or null. [opening] holds
     * the number of connections being opened by workspace.
     */
    fun firstWithoutOpening(opening: Map<WorkspaceName?, Int>): LinkWaiter? {
        val left = HashMap(opening)
        return waiters.firstOrNull {
            val workspace = it.urgency.caller.workspace
            val count = left[workspace] ?: 0
            left[workspace] = count - 1
            count <= 0
        }
    }

    private fun removeNext(accepts: (WorkspaceName?) -> Boolean): LinkWaiter? {
        val latestStart = time.markNow() + answerTime()
        val next = waiters.filter { accepts(it.urgency.caller.workspace) }.minWithOrNull(
            compareBy({
                schedulingClassOf(it.urgency, latestStart)
            }, { it.urgency.effectivePriority(latestStart) })
        ) ?: return null
        waiters.remove(next)
        return next
    }

    private fun schedulingClassOf(urgency: LinkUrgency, latestStart: ComparableTimeMark) = when {
        urgency.goal == null -> 0
        urgency.goal >= latestStart -> 1
        else -> 2
    }

    private fun LinkUrgency.effectivePriority(latestStart: ComparableTimeMark) =
        if (goal != null && goal < latestStart) 0 else priority
}

/**
 * A caller that waits for a link.
 *
 * @property urgency its scheduling parameters
 */
internal class LinkWaiter(val urgency: LinkUrgency) {
    /** Completes with a link, or with the error that prevented opening one. */
    val result = CompletableDeferred<Either<OpenError, PooledLink>>()

    /** Delivers the outcome. Returns false if the caller has stopped waiting. */
    fun complete(outcome: Either<OpenError, PooledLink>) = result.complete(outcome)
}
