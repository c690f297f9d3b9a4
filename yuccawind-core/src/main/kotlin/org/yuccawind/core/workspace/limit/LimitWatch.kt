package org.yuccawind.core.workspace.limit

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.seconds
import org.yuccawind.core.port.DecisionLog
import org.yuccawind.core.workspace.WorkspaceName

/** Time without a refusal after which a workspace is no longer limited. */
private val UNLIMITED_AFTER = 2.seconds

/** Number of workspaces with their own figures; the others are summed up. */
private const val MAX_NAMED = 8

/** Name under which the figures of the other workspaces are summed up. */
private const val OTHERS = "others"

/** Counts the decisions by workspace, and logs when a workspace begins and ceases to be limited. */
class LimitWatch(private val log: DecisionLog) {
    private val tallies = HashMap<WorkspaceName, Tally>()
    private val limited = HashMap<WorkspaceName, Limited>()

    /** Figures of the workspaces with the most operations by name, and of the others together. */
    val figures: Map<String, LimitFigures>
        get() {
            val sorted = tallies.entries.sortedByDescending { it.value.asked }
            val named = sorted.take(MAX_NAMED).associate { it.key.value to it.value.toFigures() }
            val others = sorted.drop(MAX_NAMED).map { it.value.toFigures() }
            if (others.isEmpty()) return named
            return named +
                (OTHERS to LimitFigures(others.sumOf { it.asked }, others.sumOf { it.refused }))
        }

    /** Counts one decision. */
    fun decided(workspace: WorkspaceName, isAdmitted: Boolean, now: ComparableTimeMark) {
        val tally = tallies.getOrPut(workspace) { Tally() }
        tally.asked++
        if (isAdmitted) return
        tally.refused++
        val known = limited[workspace]
        if (known == null) {
            limited[workspace] = Limited(now, tally.refused - 1)
            log.record("workspace_limited", "workspace" to workspace)
        } else {
            known.lastAt = now
        }
    }

    /** Logs the workspaces that are no longer limited at [now]. */
    fun check(now: ComparableTimeMark) {
        val ended = limited.filterValues { now - it.lastAt > UNLIMITED_AFTER }
        for ((workspace, state) in ended) {
            limited.remove(workspace)
            log.record(
                "workspace_unlimited",
                "workspace" to workspace,
                "refused" to (tallies[workspace]?.refused ?: 0) - state.refusedBefore
            )
        }
    }

    private class Tally {
        var asked = 0L
        var refused = 0L

        fun toFigures() = LimitFigures(asked, refused)
    }

    private class Limited(var lastAt: ComparableTimeMark, val refusedBefore: Long)
}
