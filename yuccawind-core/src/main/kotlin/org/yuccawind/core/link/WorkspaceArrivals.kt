package org.yuccawind.core.link

import kotlin.math.exp
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource
import org.yuccawind.core.workspace.WorkspaceName

/** Time constant of the rates: a wave of demand lasts several seconds. */
private val TIME_CONSTANT = 3.seconds

/** Rate per second below which a workspace is no longer tracked. */
private const val FORGOTTEN_RATE = 0.01

/**
 * Rates of the callers of each workspace for one server, as exponentially weighted averages. Null
 * stands for callers without a workspace.
 */
internal class WorkspaceArrivals(private val time: TimeSource.WithComparableMarks) {
    private val byWorkspace = HashMap<WorkspaceName?, Rate>()

    /** Records one caller of [workspace]. */
    fun record(workspace: WorkspaceName?) {
        val now = time.markNow()
        val rate = byWorkspace.getOrPut(workspace) { Rate(0.0, now) }
        rate.perSecond = rate.at(now) + 1 / TIME_CONSTANT.toDouble(DurationUnit.SECONDS)
        rate.since = now
    }

    /** Returns the callers of [workspace] per second. */
    fun rateOf(workspace: WorkspaceName?) = byWorkspace[workspace]?.at(time.markNow()) ?: 0.0

    /** Returns the callers per second of each workspace. */
    fun rates(): List<Double> {
        val now = time.markNow()
        byWorkspace.values.removeIf { it.at(now) < FORGOTTEN_RATE }
        return byWorkspace.filterKeys { it != null }.values.map { it.at(now) }
    }

    private class Rate(var perSecond: Double, var since: ComparableTimeMark) {
        fun at(now: ComparableTimeMark) = perSecond * exp(-((now - since) / TIME_CONSTANT))
    }
}
