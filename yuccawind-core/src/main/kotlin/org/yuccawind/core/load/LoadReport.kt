package org.yuccawind.core.load

import kotlinx.serialization.Serializable

/**
 * What the sender saw of a service's servers since its last report.
 *
 * @property reporter name of the sender
 * @property isGathered true if the report holds those of other instances too; it is not passed on
 *   again, so that no answer is counted twice
 * @property servers the figures by server
 */
@Serializable
data class LoadReport(
    val reporter: String,
    val isGathered: Boolean,
    val servers: List<ServerCounters>
)
