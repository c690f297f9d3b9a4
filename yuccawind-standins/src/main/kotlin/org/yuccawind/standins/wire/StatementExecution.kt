package org.yuccawind.standins.wire

import org.yuccawind.core.model.LogPoint

/**
 * A client statement as executed by a server.
 *
 * @property server name of the server
 * @property connection number of the connection
 * @property caller caller that the connection was started for
 * @property id identifier assigned by the client
 * @property text text of the statement, with the name of a prepared statement replaced by its text
 * @property values session variables of the connection at the time of execution
 * @property transaction number of the enclosing transaction; null if none
 * @property position end of the server's log before execution
 */
data class StatementExecution(
    val server: String,
    val connection: Long,
    val caller: String,
    val id: String,
    val text: String,
    val values: Map<String, String>,
    val transaction: Long?,
    val position: LogPoint
)
