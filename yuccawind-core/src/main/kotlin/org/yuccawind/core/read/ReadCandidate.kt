package org.yuccawind.core.read

import kotlin.time.Duration
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServerRole

/**
 * A server that may serve a read.
 *
 * @property server name of the server
 * @property role last reported role
 * @property catchUp estimated time until its log holds what the read requires; null when unknown
 * @property roundTrip network round-trip time
 * @property queueWait estimated time that a statement waits in the queue
 */
data class ReadCandidate(
    val server: BackendServerName,
    val role: ServerRole,
    val catchUp: Duration?,
    val roundTrip: Duration,
    val queueWait: Duration = Duration.ZERO
) {
    /** True if the server last reported itself as primary. */
    val isPrimary get() = role == ServerRole.PRIMARY
}
