package org.yuccawind.core.config

import org.yuccawind.core.model.ServiceName

/**
 * A change to one service record, as submitted by an operator.
 *
 * @property service service to create, change or delete
 * @property base revision that the change is based on; 0 for a service that never existed, null for
 *   the revision that the platform holds at the first read
 * @property config new configuration; null deletes the service
 * @property author operator who makes the change
 * @property nonce idempotency key; repeated calls with the same nonce take effect once
 * @property atEpochMs wall-clock time in milliseconds, for display only
 */
data class ConfigChange(
    val service: ServiceName,
    val base: Long?,
    val config: ServiceConfig?,
    val author: String,
    val nonce: String,
    val atEpochMs: Long
)
