package org.yuccawind.core.group

import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServerRole

/**
 * Status reported by a backend server.
 *
 * @property role its current role
 * @property term newest term that it knows, which may be above that of its log's end
 * @property received end of the log that it has received, applied or not
 * @property pausedBelowTerm it receives no log entries of terms below this one; 0 if not paused
 */
data class ServerReport(
    val role: ServerRole,
    val term: Long,
    val received: LogPoint,
    val pausedBelowTerm: Long
) {
    /** True while replication to the server is paused. */
    val isPaused get() = pausedBelowTerm > 0
}
