package org.yuccawind.standins.platform

import kotlinx.serialization.Serializable

/**
 * Faults injected into the platform stand-in.
 *
 * @property isOut true during an outage: every call fails without effect
 * @property slowMs delay of each call in milliseconds
 * @property loseReplies number of subsequent writes that take effect but whose reply is lost
 * @property listLagMs staleness of the list of instances in milliseconds
 * @property cutZones availability zones whose calls are never answered
 */
@Serializable
data class PlatformFaults(
    val isOut: Boolean = false,
    val slowMs: Long = 0,
    val loseReplies: Int = 0,
    val listLagMs: Long = 0,
    val cutZones: Set<String> = emptySet()
)
