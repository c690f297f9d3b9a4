package org.yuccawind.core.client

import org.yuccawind.core.link.LinkCommand
import org.yuccawind.core.link.PooledLink
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.statement.Access
import org.yuccawind.core.statement.PreparedShape

/**
 * A statement that a backend server has to run.
 *
 * @property id the client's identifier for it
 */
internal sealed interface Work {
    val id: String

    /** Whether it changes data. */
    val access: Access

    /** A statement that is passed on as it stands. */
    data class Direct(override val id: String, override val access: Access, val text: String) :
        Work

    /** An execution of a prepared statement. */
    data class Prepared(override val id: String, val shape: PreparedShape, val arguments: String) :
        Work {
        override val access get() = shape.access
    }

    /** Commands that run it on [link], where the server's log must hold [after]. */
    fun commandsFor(link: PooledLink, after: LogPoint? = null): List<LinkCommand> = when (this) {
        is Direct -> listOf(LinkCommand.Forward(id, text, after))

        is Prepared -> {
            val preparation = link.preparation(shape)
            preparation.commands + LinkCommand.Execute(id, preparation.name, arguments, after)
        }
    }
}
