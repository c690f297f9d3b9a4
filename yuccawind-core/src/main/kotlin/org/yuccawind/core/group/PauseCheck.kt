package org.yuccawind.core.group

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.launch

/** Interval between checks of one server by all homes together. */
private val CHECK_PERIOD = 1.seconds

/** Timeout of a status request, which may wait for a statement slot. */
private val STATUS_TIMEOUT = 400.milliseconds

/**
 * Asks the replicas of a group with synchronous replication whether they are paused, as an instance
 * that fails while it changes the primary leaves them so. The homes share the checks, so the number
 * of requests does not grow with the fleet.
 */
internal class PauseCheck(private val group: ServerGroup, private val context: GroupContext) {
    private var nextAt: ComparableTimeMark? = null

    /** Starts a check if one is due. */
    fun poll() {
        if (group.settings.syncReplicas == 0 || !group.isHome || group.servers.isEmpty()) return
        val due = nextAt ?: (context.time.markNow() + jitter(CHECK_PERIOD)).also { nextAt = it }
        if (due.hasNotPassedNow()) return
        nextAt = context.time.markNow() + CHECK_PERIOD * group.homes.size
        for (server in group.servers.filter { it !== group.leader }) {
            context.scope.launch { server.report(STATUS_TIMEOUT) }
        }
    }

    private fun jitter(limit: Duration) = limit * context.random.nextDouble()
}
