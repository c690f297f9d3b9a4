package org.yuccawind.core.failover

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val FIXED_TIMEOUT = 800.milliseconds
private val MIN_TIMEOUT = 1_000.milliseconds
private val MAX_TIMEOUT = 3_000.milliseconds
private const val DEVIATIONS = 8

/** Computes the time without a new certificate after which the primary is suspected. */
sealed interface DetectionPolicy {
    /** Returns the timeout for the estimated [intervals] between certificates. */
    fun timeout(intervals: IntervalEstimate): Duration

    /** A constant timeout. */
    data class Fixed(val timeout: Duration = FIXED_TIMEOUT) : DetectionPolicy {
        override fun timeout(intervals: IntervalEstimate) = timeout
    }

    /**
     * A timeout that adapts to the observed intervals: their mean plus 8 mean deviations, within
     * bounds.
     *
     * @property minTimeout lower bound; exceeds an idle probe period plus one lost probe round
     * @property maxTimeout upper bound; limits how long a failover leaves the service without a
     *   primary
     */
    data class Adaptive(
        val minTimeout: Duration = MIN_TIMEOUT,
        val maxTimeout: Duration = MAX_TIMEOUT
    ) : DetectionPolicy {
        override fun timeout(intervals: IntervalEstimate) =
            (intervals.mean + intervals.deviation * DEVIATIONS).coerceIn(minTimeout, maxTimeout)
    }
}
