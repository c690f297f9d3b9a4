package org.yuccawind.standins.network

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val RETRANSMISSION = 200.milliseconds

/**
 * Properties of the links between availability zones.
 *
 * @property oneWay minimum one-way delay between two zones
 * @property variation maximum delay as a multiple of [oneWay]; 1 for a constant delay
 * @property loss fraction of messages that are lost and retransmitted, 0 to 1
 * @property retransmission timeout before a lost message is retransmitted; doubled with each loss
 */
data class LinkSettings(
    val oneWay: Duration,
    val variation: Double = 1.0,
    val loss: Double = 0.0,
    val retransmission: Duration = RETRANSMISSION
)
