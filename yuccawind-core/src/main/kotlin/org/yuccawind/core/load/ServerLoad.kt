package org.yuccawind.core.load

import kotlin.time.ComparableTimeMark

/**
 * Load of a backend server from all instances together, as far as this instance knows.
 *
 * @property limit number of statements in progress that the server is known to take well
 * @property inProgress statements in progress at the server
 * @property waiting callers that wait for the server at all instances
 * @property observedAt time of the observation
 */
data class ServerLoad(
    val limit: Double,
    val inProgress: Double,
    val waiting: Double,
    val observedAt: ComparableTimeMark
)
