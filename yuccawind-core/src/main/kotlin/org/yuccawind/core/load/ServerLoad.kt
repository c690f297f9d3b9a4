package org.yuccawind.core.load

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Load of a backend server from all instances together, as far as this instance knows.
 *
 * @property limit number of statements in progress that the server is known to take well
 * @property inProgress statements in progress at the server
 * @property waiting callers that wait for the server at all instances
 * @property observedAt time of the observation
 * @property answerTime answer time of a usual statement that does not wait at the server
 * @property failedShare share of the statements that fail at the server
 * @property occupied slots that the answered statements occupied on average, without their waits
 */
data class ServerLoad(
    val limit: Double,
    val inProgress: Double,
    val waiting: Double,
    val observedAt: ComparableTimeMark,
    val answerTime: Duration = 15.milliseconds,
    val failedShare: Double = 0.0,
    val occupied: Double = inProgress
)
