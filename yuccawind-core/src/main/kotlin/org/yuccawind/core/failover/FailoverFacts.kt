package org.yuccawind.core.failover

import kotlin.time.Duration
import org.yuccawind.core.model.InstanceId

/**
 * Inputs of the decision whether to promote a new primary, captured at one moment.
 *
 * @property silence time since the newest certificate for the primary
 * @property timeout silence after which the primary is suspected
 * @property rank rank of this instance among those that monitor the service, from 0
 * @property promotionDelay delay that spreads the promotions of many services over time
 * @property reached number of servers that answered recently
 * @property majority number of servers that form a majority
 * @property witness a peer with a certificate younger than [timeout], or null
 */
data class FailoverFacts(
    val silence: Duration,
    val timeout: Duration,
    val rank: Int,
    val promotionDelay: Duration,
    val reached: Int,
    val majority: Int,
    val witness: InstanceId?
)
