package org.yuccawind.bench.load

import org.HdrHistogram.Histogram

private const val MICROS_PER_MS = 1_000.0

/**
 * Result of one load run.
 *
 * @property latencies latencies of answered statements in microseconds
 * @property failures statements without a result
 * @property perSecond answered statements per second
 */
data class LoadResult(val latencies: Histogram, val failures: Long, val perSecond: Double) {
    /** Latency in milliseconds at [percentile], from 0 to 100. */
    fun percentileMs(percentile: Double): Double =
        latencies.getValueAtPercentile(percentile) / MICROS_PER_MS
}
