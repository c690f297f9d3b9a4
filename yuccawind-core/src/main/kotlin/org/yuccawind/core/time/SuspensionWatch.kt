package org.yuccawind.core.time

import kotlin.math.abs
import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource

/**
 * Difference between the clocks that counts as a suspension. The two clocks are not read at the
 * same moment, and a thread may lose the processor for tens of milliseconds in between.
 */
private const val TOLERANCE_MS = 100L

/**
 * Notices that the machine was suspended. The steady clock leaves such time out, so ages measured
 * by it are too young afterwards; the time of day counts it.
 *
 * A step of the time of day looks the same. Taking it for a suspension costs one more question to
 * a server, the other way round would serve old data.
 *
 * @param steady the clock that ages are measured by
 * @param wallClockMs the time of day in Unix milliseconds
 */
class SuspensionWatch(
    private val steady: TimeSource.WithComparableMarks,
    private val wallClockMs: () -> Long
) {
    private val startedAt = steady.markNow()
    private var offsetMs = offset()
    private var noticedAt: ComparableTimeMark = startedAt

    /**
     * When the newest suspension was noticed, or the start if there was none. Marks before it may
     * be older than the steady clock says.
     */
    fun resumedAt(): ComparableTimeMark {
        val now = offset()
        if (abs(now - offsetMs) > TOLERANCE_MS) noticedAt = steady.markNow()
        offsetMs = now
        return noticedAt
    }

    private fun offset() = wallClockMs() - startedAt.elapsedNow().inWholeMilliseconds
}
