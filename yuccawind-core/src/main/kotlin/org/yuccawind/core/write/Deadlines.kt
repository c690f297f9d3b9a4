package org.yuccawind.core.write

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

private val MAX_OUTCOME_RESERVE = 1_500.milliseconds
private const val OUTCOME_DIVISOR = 4
private val MIN_ATTEMPT_TIME = 100.milliseconds

/** Returns the deadline of the last attempt, which leaves time for resolving the outcome. */
internal fun ComparableTimeMark.dispatchDeadline(
    time: TimeSource.WithComparableMarks
): ComparableTimeMark = this - minOf(MAX_OUTCOME_RESERVE, remaining(time) / OUTCOME_DIVISOR)

/**
 * Returns the deadline of one attempt: half of the remaining time, so that an unresponsive
 * connection leaves time for a retry.
 */
internal fun ComparableTimeMark.attemptDeadline(
    time: TimeSource.WithComparableMarks
): ComparableTimeMark = minOf(this, time.markNow() + maxOf(MIN_ATTEMPT_TIME, remaining(time) / 2))

private fun ComparableTimeMark.remaining(time: TimeSource.WithComparableMarks): Duration =
    maxOf(Duration.ZERO, this - time.markNow())
