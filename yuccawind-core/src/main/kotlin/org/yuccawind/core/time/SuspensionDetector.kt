package org.yuccawind.core.time

import kotlin.math.abs
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Drift between the two clocks above which a suspension is assumed. */
private const val MAX_DRIFT_MS = 40L

/** Maximum time between the monotonic clock readings before and after a wall clock reading. */
private val MAX_READING_DURATION = 5.milliseconds

/** Attempts to get an accurate reading, since the thread may be preempted between two readings. */
private const val MAX_READINGS = 4

/**
 * Detects that the machine was suspended. The monotonic clock stops during a suspension, so ages
 * measured by it are too small afterwards; the wall clock goes on.
 *
 * An adjustment of the wall clock cannot be told apart from a suspension and is treated as one.
 * This costs one more request to a server, whereas missing a suspension would serve stale data.
 *
 * @param monotonic the clock used to measure ages
 * @param wallClockMs returns the wall clock time in Unix milliseconds
 */
class SuspensionDetector(
    private val monotonic: TimeSource.WithComparableMarks,
    private val wallClockMs: () -> Long
) {
    private val startedAt = monotonic.markNow()
    private var offsetMs = readOffsetMs()
    private var detectedAt: ComparableTimeMark = startedAt

    /**
     * Returns when the latest suspension was detected, or the creation time of this detector if
     * there was none. Time marks before it may be older than the monotonic clock indicates.
     */
    fun resumedAt(): ComparableTimeMark {
        val currentOffsetMs = readOffsetMs()
        // The offset is not updated for a smaller drift, so that short suspensions add up.
        if (abs(currentOffsetMs - offsetMs) > MAX_DRIFT_MS) {
            detectedAt = monotonic.markNow()
            offsetMs = currentOffsetMs
        }
        return detectedAt
    }

    private fun readOffsetMs(): Long {
        var before = startedAt.elapsedNow()
        var wallMs = wallClockMs()
        repeat(MAX_READINGS - 1) {
            val after = startedAt.elapsedNow()
            if (after - before <= MAX_READING_DURATION) return wallMs - before.inWholeMilliseconds
            before = after
            wallMs = wallClockMs()
        }
        return wallMs - before.inWholeMilliseconds
    }
}
