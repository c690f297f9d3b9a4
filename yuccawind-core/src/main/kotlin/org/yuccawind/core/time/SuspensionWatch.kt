package org.yuccawind.core.time

import kotlin.math.abs
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Difference between the clocks that counts as a suspension. */
private const val TOLERANCE_MS = 40L

/** Greatest time between two readings of the steady clock with one of the time of day between. */
private val READING_LIMIT = 5.milliseconds

/** Readings that are tried: the thread may lose the processor in the middle of one. */
private const val MAX_READINGS = 4

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
        // Smaller differences are kept: several short suspensions add up.
        if (abs(now - offsetMs) > TOLERANCE_MS) {
            noticedAt = steady.markNow()
            offsetMs = now
        }
        return noticedAt
    }

    private fun offset(): Long {
        var before = startedAt.elapsedNow()
        var wallMs = wallClockMs()
        repeat(MAX_READINGS - 1) {
            val after = startedAt.elapsedNow()
            if (after - before <= READING_LIMIT) return wallMs - before.inWholeMilliseconds
            before = after
            wallMs = wallClockMs()
        }
        return wallMs - before.inWholeMilliseconds
    }
}
