package org.yuccawind.core.statement

/**
 * A statement with the identifier that its client gave it.
 *
 * @property id identifier, passed on to the server that runs the statement
 * @property statement what to run
 */
data class StatementRequest(val id: String, val statement: Statement)
