package org.yuccawind.core.route

import kotlin.time.Duration
import org.yuccawind.core.model.ServiceName

/**
 * The operators' configuration, as sessions need it.
 *
 * @property version rises with each change
 * @property routes routes by database name
 * @property services the groups of servers
 * @property limits bounds that hold for all sessions
 */
data class RoutingConfig(
    val version: Long,
    val routes: Map<String, Route>,
    val services: Map<ServiceName, GroupSettings>,
    val limits: SessionLimits
)

/**
 * Settings of one group of servers.
 *
 * @property maxConnections connections that each server accepts from all instances together
 * @property syncReplicas replicas that hold a commit before it is acknowledged
 */
data class GroupSettings(val maxConnections: Int, val syncReplicas: Int)

/**
 * Bounds that hold for all sessions.
 *
 * @property startTimeout time that a client has to name its database
 * @property transactionIdle time after which an idle transaction may be rolled back
 */
data class SessionLimits(val startTimeout: Duration, val transactionIdle: Duration)
