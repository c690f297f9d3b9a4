package org.yuccawind.standins.wire

import org.yuccawind.core.model.LogPoint

/**
 * A client's statement as a server ran it.
 *
 * @property server name of the server
 * @property connection connection on which it ran
 * @property id identifier that the client gave it
 * @property text its text, with a prepared name replaced by what it stands for
 * @property values the connection's values at that moment
 * @property transaction number of the transaction that it ran in; null for none
 * @property position end of the server's log when it ran
 */
data class WireRun(
    val server: String,
    val connection: Long,
    val id: String,
    val text: String,
    val values: Map<String, String>,
    val transaction: Long?,
    val position: LogPoint
)
