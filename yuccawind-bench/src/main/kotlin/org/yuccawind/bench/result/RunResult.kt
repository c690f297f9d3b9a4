package org.yuccawind.bench.result

import kotlinx.serialization.Serializable

/**
 * Result of one run of a benchmark command.
 *
 * @property command command name, for example `throughput`
 * @property seed random seed of the run; 0 if nothing in it is random
 * @property sizes parameters of the run
 * @property figures measured values
 * @property series curves to plot in the report
 */
@Serializable
data class RunResult(
    val command: String,
    val seed: Long,
    val sizes: List<Figure>,
    val figures: List<Figure>,
    val series: List<Series> = emptyList()
)

/**
 * Measured value or parameter whose name includes its unit.
 *
 * @property name name in snake case, for example `p99_added_ms`
 * @property value numeric value
 */
@Serializable
data class Figure(val name: String, val value: Double)

/**
 * Data series of a plot.
 *
 * @property name title
 * @property x label of the horizontal axis, including its unit
 * @property y label of the vertical axis, including its unit
 * @property points points in drawing order
 */
@Serializable
data class Series(val name: String, val x: String, val y: String, val points: List<Point>)

/** A point of a [Series]. */
@Serializable
data class Point(val x: Double, val y: Double)
