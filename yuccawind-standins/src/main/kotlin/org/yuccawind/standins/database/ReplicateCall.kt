package org.yuccawind.standins.database

import kotlinx.serialization.Serializable
import org.yuccawind.core.model.LogPoint

/**
 * Log entries from a primary to a replica.
 *
 * @property term term of the primary
 * @property previous log point that directly precedes [entries]
 * @property entries the entries, possibly empty
 */
@Serializable
data class ReplicateCall(val term: Long, val previous: LogPoint, val entries: List<LogEntry>)

/**
 * A replica's reply to [ReplicateCall].
 *
 * @property accepted true if the entries were appended
 * @property fence the replica's fence
 * @property length length up to which the replica's log may match that of the primary
 */
@Serializable
data class ReplicateReply(val accepted: Boolean, val fence: Long, val length: Long)
