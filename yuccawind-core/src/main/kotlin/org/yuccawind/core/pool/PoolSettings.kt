package org.yuccawind.core.pool

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.yuccawind.core.model.ServerStatus

/**
 * Sizes and timeouts of a [ConnectionPool].
 *
 * @property connections connections that the server accepts from all instances
 * @property slots statements that the server runs concurrently
 * @property queueLimit maximum number of queued requests
 * @property statementTimeout timeout of a statement; 2 s by default
 * @property openTimeout maximum wait for a new connection; 500 ms by default
 * @property idleTimeout time after which an idle connection above the guaranteed share is closed;
 *   5 s by default
 * @property probeAfter time without an answer after which an idle connection is probed; 2 s
 *   by default
 * @property maintenanceInterval interval between checks of the idle connections; 250 ms by default
 */
data class PoolSettings(
    val connections: Int,
    val slots: Int = 2,
    val queueLimit: Int = 256,
    val statementTimeout: Duration = 2.seconds,
    val openTimeout: Duration = 500.milliseconds,
    val idleTimeout: Duration = 5.seconds,
    val probeAfter: Duration = 2.seconds,
    val maintenanceInterval: Duration = 250.milliseconds
)

/** Cluster state that a [ConnectionPool] reads from the rest of the instance. */
interface PoolSignals {
    /** Number of entry instances believed alive, including this one. */
    val instanceCount: Int

    /** The server's latest status, or null before the first. */
    val status: ServerStatus?
}
