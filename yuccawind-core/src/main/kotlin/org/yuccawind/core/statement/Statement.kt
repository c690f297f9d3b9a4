package org.yuccawind.core.statement

/** A statement of a client session. */
sealed interface Statement {
    /**
     * Opens a transaction.
     *
     * @property isReadOnly true when the client declares that the transaction does not write
     */
    data class Begin(val isReadOnly: Boolean) : Statement

    /** Commits the open transaction. */
    data object Commit : Statement

    /** Rolls back the open transaction. */
    data object Rollback : Statement

    /** Sets a session variable until the session ends or sets it again. */
    data class SetValue(val name: String, val value: String) : Statement

    /** Prepares [shape] under [name] in the session. */
    data class Prepare(val name: String, val shape: PreparedShape) : Statement

    /** Removes a prepared statement from the session. */
    data class Deallocate(val name: String) : Statement

    /** Runs the statement that the session prepared under [name]. */
    data class Execute(val name: String, val arguments: String) : Statement

    /** A read or write whose text is forwarded unchanged. */
    data class Direct(val access: Access, val text: String) : Statement
}

/** Whether a statement changes data. */
enum class Access { READ, WRITE }

/**
 * Definition of a prepared statement, called its shape in the client protocol.
 *
 * @property access whether the statement changes data
 * @property body body of the statement, as sent by the client
 */
data class PreparedShape(val access: Access, val body: String)
