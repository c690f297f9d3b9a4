package org.yuccawind.core.statement

/**
 * A statement and its identifier.
 *
 * @property id identifier assigned by the client and forwarded to the server
 * @property statement the statement to run
 */
data class StatementRequest(val id: String, val statement: Statement)
