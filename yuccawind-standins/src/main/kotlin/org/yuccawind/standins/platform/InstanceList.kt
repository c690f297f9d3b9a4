package org.yuccawind.standins.platform

import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource
import org.yuccawind.core.port.InstanceEntry

/** The list of instances with its earlier states, so that reads can return a stale one. */
internal class InstanceList(private val time: TimeSource.WithComparableMarks) {
    private val history = CopyOnWriteArrayList<Snapshot>()

    fun set(entries: List<InstanceEntry>) {
        history += Snapshot(time.markNow(), entries)
    }

    fun get(lag: Duration): List<InstanceEntry> =
        (history.lastOrNull { it.at.elapsedNow() >= lag } ?: history.firstOrNull())
            ?.entries.orEmpty()

    private class Snapshot(val at: ComparableTimeMark, val entries: List<InstanceEntry>)
}
