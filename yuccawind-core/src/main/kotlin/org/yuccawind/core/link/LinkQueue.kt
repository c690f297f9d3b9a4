package org.yuccawind.core.link

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.util.TreeMap
import java.util.TreeSet
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
 * @property arrivedAt time at which the operation arrived; null for the time of its first wait
 * @property kind kind of the statements, whose answer times are compared with each other
 */
data class LinkUrgency(
    val goal: ComparableTimeMark?,
    val priority: Int,
    val caller: Caller = Caller.Anonymous,
    val kind: LoadKind = LoadKind.OTHER,
    val arrivedAt: ComparableTimeMark? = null
) {
    companion object {
        /** For probes: they take precedence because routing depends on their results. */
        val PROBE = LinkUrgency(goal = null, priority = 0)
    }
}

/**
 * One hand-over in this many goes to the caller that has waited longest, whatever its rank. So of
 * the hand-overs to its workspace, a caller sees at most this many for itself and for each one that
 * arrived before it.
 */
internal const val HAND_OVERS_PER_OLDEST = 16

/**
 * Lead in work, as a number of answers, from which a workspace gives a link away to one that waits.
 * It covers the slot time that opening the other workspace's connection takes.
 */
private const val MAX_WORK_LEAD = 4

/** Number of releases after which workspaces that are not ahead of the others are forgotten. */
private const val FORGET_PERIOD = 1_024L

/**
 * Queue of the callers that wait for a link to one server.
 *
 * The order matters when a server is overloaded, for example as the only one that is up to date
 * while all replicas lag: first come, first served would then answer every caller too late. So
 * callers whose latency goal can still be met come first, by priority of the route and of the
 * workspace. Workspaces of the same priority share the server by the time for which they hold its
 * links, so that one with many callers does not make the others late. What a workspace does not use
 * goes to the others. Late callers share the remaining capacity in the order of arrival.
 *
 * @param answerTime expected time from the acquisition of a link to the server's answer
 */
internal class LinkQueue(
    private val time: TimeSource.WithComparableMarks,
    private val answerTime: () -> Duration
) {
    private val byWorkspace = HashMap<WorkspaceName?, WorkspaceQueue>()
    private val ranked = TreeMap<QueueRank, WorkspaceQueue>()
    private val byArrival = TreeSet(LinkWaiter.BY_ARRIVAL)
    private val sizes = TreeMap<Int, Int>()
    private var added = 0L
    private var handOvers = 0L
    private var released = 0L
    private var servedWork = Duration.ZERO

    /** Number of waiting callers. */
    val size get() = byArrival.size

    /** Number of waiting callers whose priority is [priority] or higher. */
    fun sizeUpTo(priority: Int) = sizes.headMap(priority, true).values.sum()

    /**
     * Number of waiting callers that may be served before a new one with [urgency]. Workspaces
     * share the server, so of another one no more callers go first than of its own.
     */
    fun sizeBefore(urgency: LinkUrgency): Int {
        val own = byWorkspace[urgency.caller.workspace]?.size ?: 0
        return minOf(sizeUpTo(urgency.priority), (own + 1) * ranked.size)
    }

    /** Adds a waiting caller. */
    fun add(urgency: LinkUrgency): LinkWaiter {
        val waiter = LinkWaiter(urgency, ++added, urgency.arrivedAt ?: time.markNow())
        val queue = queueOf(urgency.caller.workspace)
        // Otherwise a workspace could save up its share while it sends nothing.
        if (queue.size == 0) queue.work = maxOf(queue.work, servedWork)
        byArrival += waiter
        sizes.merge(urgency.priority, 1, Int::plus)
        queue.add(waiter)
        rank(queue)
        return waiter
    }

    /** Removes a caller. Returns false if it is no longer queued. */
    fun remove(waiter: LinkWaiter): Boolean {
        if (!byArrival.remove(waiter)) return false
        val queue = queueOf(waiter.urgency.caller.workspace)
        queue.remove(waiter)
        sizes.computeIfPresent(waiter.urgency.priority) { _, size -> (size - 1).takeIf { it > 0 } }
        rank(queue)
        return true
    }

    /**
     * Hands [link] to the first caller of its workspace that accepts it. Returns false if none
     * does.
     */
    fun handOff(link: PooledLink): Boolean {
        while (true) {
            val next = removeNextOf(link.workspace) ?: return false
            if (next.complete(link.right())) {
                handOvers++
                queueOf(link.workspace).handOvers++
                return true
            }
        }
    }

    /** Completes the first caller, if any, with [error]. */
    fun failNext(error: OpenError) {
        val queue = firstQueue { true } ?: return
        removeNextOf(queue.workspace)?.complete(error.left())
    }

    /** Completes the first caller of [workspace], if any, with [error]. */
    fun failNextOf(workspace: WorkspaceName?, error: OpenError) {
        removeNextOf(workspace)?.complete(error.left())
    }

    /**
     * Returns the first caller for which no connection is being opened, or null. [opening] holds
     * the number of connections being opened by workspace. Only workspaces that [accepts] count.
     */
    fun firstWithoutOpening(
        opening: Map<WorkspaceName?, Int>,
        accepts: (WorkspaceName?) -> Boolean = { true }
    ): LinkWaiter? {
        fun lacksOpening(queue: WorkspaceQueue) =
            accepts(queue.workspace) && queue.size > (opening[queue.workspace] ?: 0)
        if (isTurnOfOldest()) {
            val oldest = byArrival.firstOrNull() ?: return null
            if (lacksOpening(queueOf(oldest.urgency.caller.workspace))) return oldest
        }
        return firstQueue(::lacksOpening)?.first(latestStart())
    }

    /** Returns the caller of [workspace] that has waited longest, or null. */
    fun oldestOf(workspace: WorkspaceName?): LinkWaiter? = byWorkspace[workspace]?.oldest

    /** Returns the longest waiting caller of each workspace among those that waited [atLeast]. */
    fun oldestOfEach(atLeast: Duration): List<LinkWaiter> {
        val oldest = byArrival.firstOrNull()
        if (oldest == null || oldest.since.elapsedNow() < atLeast) return emptyList()
        return byWorkspace.values.mapNotNull { it.oldest }
            .filter { it.since.elapsedNow() >= atLeast }
    }

    /** Records that a caller of [workspace] held a link for [elapsed]. */
    fun recordWork(workspace: WorkspaceName?, elapsed: Duration) {
        val queue = queueOf(workspace)
        if (queue.size == 0) queue.work = maxOf(queue.work, servedWork)
        val firstWork = ranked.firstEntry()?.value?.work ?: queue.work
        servedWork = maxOf(servedWork, minOf(queue.work, firstWork))
        queue.work += elapsed
        rank(queue)
        if (++released % FORGET_PERIOD == 0L) forgetUnused()
    }

    private fun forgetUnused() =
        byWorkspace.values.removeIf { it.size == 0 && it.work <= servedWork }

    /**
     * Returns true if a link of [workspace] should be closed for a caller of another workspace that
     * has no connection in [opening]: one of higher rank, or one whose workspace has had clearly
     * less of the server. To be asked only when no further connection can be opened.
     */
    fun mustYield(
        workspace: WorkspaceName?,
        opening: Map<WorkspaceName?, Int>,
        accepts: (WorkspaceName?) -> Boolean = { true }
    ): Boolean {
        val next = firstWithoutOpening(opening, accepts) ?: return false
        val target = next.urgency.caller.workspace
        val other = byWorkspace[target]?.rank
        if (other == null || target == workspace) return false
        val isTurn = isTurnOfOldest() && next === byArrival.first() && (opening[target] ?: 0) == 0
        val own = byWorkspace[workspace]?.rank
        val hasLead = own != null && !own.isAbove(other) &&
            own.work - other.work > answerTime() * MAX_WORK_LEAD
        return own == null || isTurn || other.isAbove(own) || hasLead
    }

    private fun queueOf(workspace: WorkspaceName?) =
        byWorkspace.getOrPut(workspace) { WorkspaceQueue(workspace) }

    private fun latestStart() = time.markNow() + answerTime()

    private fun isTurnOfOldest(count: Long = handOvers) =
        count % HAND_OVERS_PER_OLDEST == HAND_OVERS_PER_OLDEST - 1L

    private fun removeNextOf(workspace: WorkspaceName?): LinkWaiter? {
        val queue = byWorkspace[workspace] ?: return null
        val isOldestNext = isTurnOfOldest(queue.handOvers)
        val next = (if (isOldestNext) queue.oldest else queue.first(latestStart())) ?: return null
        remove(next)
        return next
    }

    /** Returns the first queue by rank that [accepts], after correcting outdated ranks. */
    private fun firstQueue(accepts: (WorkspaceQueue) -> Boolean): WorkspaceQueue? {
        var entry = ranked.firstEntry()
        while (entry != null) {
            val queue = entry.value
            if (rankOf(queue) != entry.key) {
                rank(queue)
                entry = ranked.firstEntry()
                continue
            }
            if (accepts(queue)) return queue
            entry = ranked.higherEntry(entry.key)
        }
        return null
    }

    private fun rank(queue: WorkspaceQueue) {
        queue.rank?.let(ranked::remove)
        queue.rank = rankOf(queue)?.also { ranked[it] = queue }
    }

    private fun rankOf(queue: WorkspaceQueue): QueueRank? {
        val first = queue.first(latestStart()) ?: return null
        val isLate = queue.isLate(first)
        return QueueRank(
            goalClass = if (first.urgency.goal == null) {
                0
            } else if (isLate) {
                2
            } else {
                1
            },
            priority = if (isLate) 0 else first.urgency.priority,
            callerPriority = if (isLate) 0 else first.urgency.caller.priority,
            work = queue.work,
            number = first.number
        )
    }
}

/**
 * A caller that waits for a link.
 *
 * @property urgency its scheduling parameters
 * @property number order of arrival
 * @property since time of its arrival, also if it has waited before
 */
internal class LinkWaiter(
    val urgency: LinkUrgency,
    val number: Long,
    val since: ComparableTimeMark
) {
    /** Completes with a link, or with the error that prevented opening one. */
    val result = CompletableDeferred<Either<OpenError, PooledLink>>()

    /** Delivers the outcome. Returns false if the caller has stopped waiting. */
    fun complete(outcome: Either<OpenError, PooledLink>) = result.complete(outcome)

    companion object {
        /** Order of arrival. */
        val BY_ARRIVAL: Comparator<LinkWaiter> = compareBy({ it.since }, { it.number })
    }
}
