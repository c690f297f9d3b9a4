package org.yuccawind.bench.throughput

import kotlin.time.Duration

/**
 * Parameters of a throughput run.
 *
 * @property duration total time of all measurements
 * @property rate statements per second in the measurements at a fixed rate
 * @property workers number of statements in progress concurrently
 * @property cores number of cores available to the proxy
 */
internal data class ThroughputParameters(
    val duration: Duration,
    val rate: Int,
    val workers: Int,
    val cores: Int
)
