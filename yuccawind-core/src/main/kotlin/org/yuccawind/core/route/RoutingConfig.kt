package org.yuccawind.core.route

import kotlin.time.Duration
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.workspace.Workspaces

/**
 * The part of the operators' configuration that sessions use.
 *
 * @property version version number, increased by each change
 * @property routes routes by database name
 * @property services settings of the server groups by service
 * @property limits limits that apply to all sessions
 * @property workspaces workspaces and the keys of their clients
 */
data class RoutingConfig(
    val version: Long,
    val routes: Map<String, Route>,
    val services: Map<ServiceName, GroupSettings>,
    val limits: SessionLimits,
    val workspaces: Workspaces = Workspaces.NONE
)

/**
 * Settings of the server group of one service.
 *
 * @property maxConnections connections that each server accepts from all instances together
 * @property syncReplicas number of replicas that must hold a commit before it is acknowledged
 */
data class GroupSettings(val maxConnections: Int, val syncReplicas: Int)

/**
 * Limits that apply to all sessions.
 *
 * @property startTimeout time for a new client to send the name of its database
 * @property transactionIdleTimeout time after which an idle transaction may be rolled back
 */
data class SessionLimits(val startTimeout: Duration, val transactionIdleTimeout: Duration)
