package org.yuccawind.standins.database

import kotlinx.serialization.Serializable
import org.yuccawind.core.model.RequestId

/**
 * One entry of a database's log.
 *
 * @property term term of the primary that appended it
 * @property statements statements to apply; empty for the first entry of a term
 * @property requestId ledger key inserted by the same transaction; null if none
 * @property isCancelled true if the ledger row marks the request as cancelled
 */
@Serializable
data class LogEntry(
    val term: Long,
    val statements: List<String> = emptyList(),
    val requestId: RequestId? = null,
    val isCancelled: Boolean = false
)
