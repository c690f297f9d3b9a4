package org.yuccawind.core.admission

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * What a statement that arrives or waits needs.
 *
 * @property arrivedAt time of its arrival
 * @property deadline time after which its answer is of no use
 * @property targetLatency time from its arrival within which it should be answered
 * @property priority priority of its route; 0 is the highest
 */
class StatementDemand(
    val arrivedAt: ComparableTimeMark,
    val deadline: ComparableTimeMark,
    val targetLatency: Duration,
    val priority: Int
) {
    /** Time by which it should be answered. */
    val goal: ComparableTimeMark get() = arrivedAt + targetLatency

    /** Time from the arrival to the deadline. */
    val timeout: Duration get() = deadline - arrivedAt

    /** Time since the arrival. */
    val waited: Duration get() = arrivedAt.elapsedNow()

    /** Time until the deadline; negative after it. */
    val timeLeft: Duration get() = -deadline.elapsedNow()
}
