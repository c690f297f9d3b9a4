package org.yuccawind.core.link

import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.statement.PreparedShape

/** What a link sends to a backend server. */
sealed interface LinkCommand {
    /**
     * Opens a transaction; one that is not read-only succeeds only on the group's primary.
     *
     * @property after log point that the server must hold; null for none
     */
    data class Begin(val isReadOnly: Boolean, val after: LogPoint? = null) : LinkCommand

    /** Ends the open transaction, if any, and drops its writes. */
    data object Rollback : LinkCommand

    /** Clears the link's values and prepared names. */
    data object Reset : LinkCommand

    /** Sets a value. */
    data class SetValue(val name: String, val value: String) : LinkCommand

    /** Prepares [shape] under [name]. */
    data class Prepare(val name: String, val shape: PreparedShape) : LinkCommand

    /** A client's read or write, with its text unchanged. */
    data class Forward(val id: String, val text: String, val after: LogPoint? = null) : LinkCommand

    /** A client's prepared statement under the link's own [name] for it. */
    data class Execute(
        val id: String,
        val name: String,
        val arguments: String,
        val after: LogPoint? = null
    ) : LinkCommand

    /** A client's commit. */
    data class Commit(val id: String) : LinkCommand

    /** Asks the server how it stands; takes a statement slot. */
    data object Status : LinkCommand

    /** Stops a replica from receiving, if [term] is above every term that it knows. */
    data class Pause(val term: Long) : LinkCommand

    /** Lets a paused replica receive again. */
    data object Resume : LinkCommand

    /** Makes a primary of a lower term a replica. */
    data class StepDown(val term: Long) : LinkCommand
}
