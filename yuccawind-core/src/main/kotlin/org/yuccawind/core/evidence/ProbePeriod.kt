package org.yuccawind.core.evidence

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.yuccawind.core.config.ServiceConfig

private val MAX_PERIOD = 200.milliseconds
private val MIN_PERIOD = 25.milliseconds
private const val ROUNDS_PER_BOUND = 4

/** Derives the time between two probe rounds that were not requested explicitly. */
object ProbePeriod {
    /**
     * Returns a quarter of the smallest non-zero staleness bound in [config], limited to the range
     * of 25 to 200 ms. At this rate reads with that bound seldom wait for a round. Reads with a
     * bound of zero request their own rounds and are not considered.
     */
    fun of(config: ServiceConfig): Duration {
        val bounds = config.readKinds.mapNotNull { it.greatestAgeMs }.filter { it > 0 }
        val smallest = bounds.minOrNull() ?: return MAX_PERIOD
        return (smallest.milliseconds / ROUNDS_PER_BOUND).coerceIn(MIN_PERIOD, MAX_PERIOD)
    }
}
