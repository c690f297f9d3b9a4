package org.yuccawind.core.link

import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.statement.PreparedShape

/** A command sent to a backend server over a link. */
sealed interface LinkCommand {
    /**
     * Opens a transaction; a read-write transaction succeeds only on the group's primary.
     *
     * @property after log point that the server's log must include; null for no requirement
     */
    data class Begin(val isReadOnly: Boolean, val after: LogPoint? = null) : LinkCommand

    /** Rolls back the open transaction, if any. */
    data object Rollback : LinkCommand

    /** Clears the link's session variables and prepared statements. */
    data object Reset : LinkCommand

    /** Sets a session variable. */
    data class SetValue(val name: String, val value: String) : LinkCommand

    /** Prepares [shape] under [name]. */
    data class Prepare(val name: String, val shape: PreparedShape) : LinkCommand

    /** Runs a client's read or write, with its text unchanged. */
    data class Forward(val id: String, val text: String, val after: LogPoint? = null) : LinkCommand

    /** Runs a client's prepared statement, which is prepared as [name] on this link. */
    data class Execute(
        val id: String,
        val name: String,
        val arguments: String,
        val after: LogPoint? = null
    ) : LinkCommand

    /** Commits a client's transaction under the client's [id]. */
    data class Commit(val id: String) : LinkCommand

    /** Requests the status of the server; occupies a statement slot. */
    data object Status : LinkCommand

    /** Pauses replication on a replica if [term] is above every term that it knows. */
    data class Pause(val term: Long) : LinkCommand

    /** Resumes replication on a paused replica. */
    data object Resume : LinkCommand

    /** Demotes a primary whose term is below [term] to a replica. */
    data class StepDown(val term: Long) : LinkCommand
}
