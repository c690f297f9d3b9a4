package org.yuccawind.core.statement

/** One statement of a client's session. */
sealed interface Statement {
    /**
     * Opens a transaction.
     *
     * @property isReadOnly true when the client promises not to write in it
     */
    data class Begin(val isReadOnly: Boolean) : Statement

    /** Ends a transaction and keeps its writes. */
    data object Commit : Statement

    /** Ends a transaction and drops its writes. */
    data object Rollback : Statement

    /** Sets a value of the session; it stays until the session ends. */
    data class SetValue(val name: String, val value: String) : Statement

    /** Gives [shape] a name in the session. */
    data class Prepare(val name: String, val shape: PreparedShape) : Statement

    /** Drops a prepared name of the session. */
    data class Deallocate(val name: String) : Statement

    /** Runs a prepared statement by its [name] in the session. */
    data class Execute(val name: String, val arguments: String) : Statement

    /** A read or write that is passed on as it stands. */
    data class Direct(val access: Access, val text: String) : Statement
}

/** Whether a statement changes data. */
enum class Access { READ, WRITE }

/**
 * What a prepared statement does.
 *
 * @property access whether it changes data
 * @property body its form, as the client gave it
 */
data class PreparedShape(val access: Access, val body: String)
