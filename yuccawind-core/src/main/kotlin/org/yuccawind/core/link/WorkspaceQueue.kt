package org.yuccawind.core.link

import java.util.TreeMap
import java.util.TreeSet
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import org.yuccawind.core.workspace.WorkspaceName

/**
 * Callers of one workspace that wait for a link to one server.
 *
 * Each caller changes at most once from those whose latency goal can be met to the late ones, so
 * the cost of a selection grows with the logarithm of the number that wait.
 *
 * @property workspace the workspace; null for connections without one
 */
internal class WorkspaceQueue(val workspace: WorkspaceName?) {
    private val urgent = LinkedHashSet<LinkWaiter>()
    private val inTime = TreeMap<Int, TreeSet<LinkWaiter>>()
    private val late = TreeSet<LinkWaiter>(compareBy { it.number })
    private val byArrival = TreeSet(LinkWaiter.BY_ARRIVAL)

    /** Time for which the workspace has held links to the server, relative to the others. */
    var work = Duration.ZERO

    /** Number of links handed to callers of the workspace. */
    var handOvers = 0L

    /** Place in the index of [LinkQueue]; null while nobody waits. */
    var rank: QueueRank? = null

    /** Number of waiting callers. */
    val size get() = byArrival.size

    /** The caller that has waited longest, or null. */
    val oldest: LinkWaiter? get() = byArrival.firstOrNull()

    /** Adds [waiter]. */
    fun add(waiter: LinkWaiter) {
        byArrival += waiter
        val goal = waiter.urgency.goal
        if (goal == null) {
            urgent += waiter
        } else {
            inTime.getOrPut(waiter.urgency.priority) {
                TreeSet(compareBy({ it.urgency.goal }, { it.number }))
            } += waiter
        }
    }

    /** Removes [waiter]. Returns false if it does not wait here. */
    fun remove(waiter: LinkWaiter): Boolean {
        if (!byArrival.remove(waiter)) return false
        if (urgent.remove(waiter) || late.remove(waiter)) return true
        val priority = waiter.urgency.priority
        val sharing = inTime[priority] ?: return true
        sharing.remove(waiter)
        if (sharing.isEmpty()) inTime.remove(priority)
        return true
    }

    /** Returns the next caller in order if a link taken at [latestStart] still meets a goal. */
    fun first(latestStart: ComparableTimeMark): LinkWaiter? {
        urgent.firstOrNull()?.let { return it }
        moveLate(latestStart)
        return inTime.values.firstOrNull()?.first() ?: late.firstOrNull()
    }

    /** Returns true if [waiter] cannot be answered within its goal any more. */
    fun isLate(waiter: LinkWaiter) = waiter in late

    private fun moveLate(latestStart: ComparableTimeMark) {
        val priorities = inTime.values.iterator()
        while (priorities.hasNext()) {
            val sharing = priorities.next()
            while (sharing.isNotEmpty() && sharing.first().urgency.isMissedAt(latestStart)) {
                sharing.pollFirst()?.let { late += it }
            }
            if (sharing.isEmpty()) priorities.remove()
        }
    }

    private fun LinkUrgency.isMissedAt(latestStart: ComparableTimeMark) =
        goal != null && goal < latestStart
}

/**
 * Place of a workspace's first caller among the workspaces.
 *
 * @property goalClass 0 for callers before all clients, 1 if the goal can be met, 2 if not
 * @property priority priority of the route
 * @property callerPriority priority of the workspace
 * @property work time for which the workspace has held links
 * @property number order of arrival of the first caller
 */
internal data class QueueRank(
    val goalClass: Int,
    val priority: Int,
    val callerPriority: Int,
    val work: Duration,
    val number: Long
) : Comparable<QueueRank> {
    override fun compareTo(other: QueueRank) = ORDER.compare(this, other)

    /** Returns true if the callers are ahead of [other] whatever work was done for them. */
    fun isAbove(other: QueueRank) = LEVEL.compare(this, other) < 0

    private companion object {
        val LEVEL: Comparator<QueueRank> =
            compareBy({ it.goalClass }, { it.priority }, { it.callerPriority })
        val ORDER: Comparator<QueueRank> = LEVEL.thenBy { it.work }.thenBy { it.number }
    }
}
