package org.yuccawind.core.load

import kotlinx.serialization.Serializable
import org.yuccawind.core.model.BackendServerName

/**
 * What one or more instances saw of a backend server during a period.
 *
 * @property server the server
 * @property kinds answered statements by kind
 * @property failed statements that ran and failed, or whose answer did not come
 * @property refused statements that the server refused for lack of room
 * @property inProgress statements in progress at the end of the period
 * @property waiting callers that waited for a connection at the end of the period
 */
@Serializable
data class ServerCounters(
    val server: BackendServerName,
    val kinds: List<KindCounters> = emptyList(),
    val failed: Int = 0,
    val refused: Int = 0,
    val inProgress: Int = 0,
    val waiting: Int = 0
)

/**
 * Answered statements of one kind.
 *
 * @property kind the kind
 * @property answered number of answered statements
 * @property totalUs sum of their answer times, in microseconds
 */
@Serializable
data class KindCounters(val kind: LoadKind, val answered: Int, val totalUs: Long)
