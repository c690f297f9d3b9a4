package org.yuccawind.core.evidence

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import org.yuccawind.core.model.LogPoint

private const val MAX_ENTRIES = 1_024
private val MIN_SPACING = 5.milliseconds

/**
 * A log end of the group with the time at which this instance first observed it.
 *
 * @property point the log end
 * @property observedAt time of the first observation, on this instance's clock
 */
internal data class ObservedLogEnd(val point: LogPoint, val observedAt: ComparableTimeMark)

/**
 * Bounded history of a group's log end as observed by this instance. Entries are strictly
 * increasing in log position.
 */
internal class LogEndHistory {
    private val entries = ArrayDeque<ObservedLogEnd>()

    /**
     * Records that the group's log had reached [point] at [at]. Ignored unless [point] is greater
     * than all recorded log ends.
     */
    fun record(point: LogPoint, at: ComparableTimeMark) {
        val newest = entries.lastOrNull()
        if (newest != null && newest.point >= point) return
        // Of several log ends observed within the spacing, only the greatest is kept: it serves
        // predictions for all of them and bounds the size of the history.
        if (newest != null && isWithinSpacing(newest, at)) entries.removeLast()
        if (entries.size == MAX_ENTRIES) entries.removeFirst()
        entries.addLast(ObservedLogEnd(point, at))
    }

    /** Returns the first observed log end after [point], or null. */
    fun firstAfter(point: LogPoint): ObservedLogEnd? =
        entries.getOrNull(entries.binarySearch { if (it.point <= point) -1 else 1 }.inv())

    /** Returns the first observed log end at or after [point], or null. */
    fun firstAtOrAfter(point: LogPoint): ObservedLogEnd? = entries.getOrNull(indexAtOrAfter(point))

    /** Returns the last observed log end at or before [point], or null. */
    fun lastAtOrBefore(point: LogPoint): ObservedLogEnd? =
        entries.getOrNull(entries.binarySearch { if (it.point <= point) -1 else 1 }.inv() - 1)

    private fun indexAtOrAfter(point: LogPoint) =
        entries.binarySearch { if (it.point < point) -1 else 1 }.inv()

    private fun isWithinSpacing(newest: ObservedLogEnd, at: ComparableTimeMark): Boolean {
        val previous = entries.getOrNull(entries.size - 2) ?: return false
        return newest.observedAt - previous.observedAt < MIN_SPACING &&
            at - previous.observedAt < MIN_SPACING
    }
}
