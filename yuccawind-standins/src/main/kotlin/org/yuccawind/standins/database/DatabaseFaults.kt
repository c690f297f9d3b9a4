package org.yuccawind.standins.database

import kotlinx.serialization.Serializable

/**
 * Faults injected into a database stand-in.
 *
 * @property frozen true while no call is answered
 * @property cutZones availability zones whose calls are never answered
 * @property silence counter; each increase makes the connections that are open at that moment stop
 *   responding permanently
 * @property lagMs replication lag in milliseconds; null uses [DatabaseSettings.lag]
 */
@Serializable
data class DatabaseFaults(
    val frozen: Boolean = false,
    val cutZones: Set<String> = emptySet(),
    val silence: Int = 0,
    val lagMs: Long? = null
)
