package org.yuccawind.core.model

import kotlinx.serialization.Serializable

/**
 * Status reported by a backend server.
 *
 * @property fence lowest term whose writes and replication the server accepts
 * @property end log point of the last entry in the server's log
 * @property role role of the server in its group
 * @property busySlots number of statements in progress
 * @property openConnections number of open connections to the server
 */
@Serializable
data class ServerStatus(
    val fence: Long,
    val end: LogPoint,
    val role: ServerRole,
    val busySlots: Int = 0,
    val openConnections: Int = 0
) {
    /**
     * True for a primary whose log ends in the fenced term: it has been promoted and, as far as it
     * knows, not replaced since.
     */
    val isPrimary get() = role == ServerRole.PRIMARY && end.term == fence
}
