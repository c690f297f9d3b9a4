package org.yuccawind.core.failover

import kotlin.time.Duration

private const val MEAN_WEIGHT = 1.0 / 16
private const val DEVIATION_WEIGHT = 1.0 / 8

/**
 * Exponentially weighted moving averages of the intervals between certificates and of their
 * deviation.
 *
 * @property mean average interval
 * @property deviation average absolute deviation of an interval from the mean
 */
data class IntervalEstimate(val mean: Duration, val deviation: Duration) {
    /** Returns the estimate updated with one more [interval]. */
    fun after(interval: Duration): IntervalEstimate {
        val absoluteDeviation = (interval - mean).absoluteValue
        return IntervalEstimate(
            mean + (interval - mean) * MEAN_WEIGHT,
            deviation + (absoluteDeviation - deviation) * DEVIATION_WEIGHT
        )
    }

    companion object {
        /** The estimate before the first interval. */
        val NONE = IntervalEstimate(Duration.ZERO, Duration.ZERO)
    }
}
