package org.yuccawind.core.failover

import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.port.BackendServer

/**
 * The candidate servers of a promotion.
 *
 * @property servers members of the group that may be fenced and named
 * @property majority number of servers that form a majority of the whole group
 * @property preferred server to name if no log ends after its log; null for no preference
 */
data class PromotionGroup(
    val servers: Map<BackendServerName, BackendServer>,
    val majority: Int,
    val preferred: BackendServerName? = null
)
