package org.yuccawind.core.client

import org.yuccawind.core.link.LinkCommand
import org.yuccawind.core.link.PooledLink
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.statement.Access
import org.yuccawind.core.statement.PreparedShape

/**
 * A statement to be run on a backend server.
 *
 * @property id statement identifier assigned by the client
 * @property access whether the statement changes data
 */
internal sealed interface BackendStatement {
    val id: String
    val access: Access

    /** A statement whose text is forwarded unchanged. */
    data class Direct(override val id: String, override val access: Access, val text: String) :
        BackendStatement

    /** An execution of a prepared statement. */
    data class Prepared(override val id: String, val shape: PreparedShape, val arguments: String) :
        BackendStatement {
        override val access get() = shape.access
    }

    /**
     * Returns the commands that run this statement on [link], preceded by the `PREPARE` that the
     * link still lacks.
     *
     * @param after log point that the server's log must include; null for no requirement
     */
    fun commandsFor(link: PooledLink, after: LogPoint? = null): List<LinkCommand> = when (this) {
        is Direct -> listOf(LinkCommand.Forward(id, text, after))

        is Prepared -> {
            val preparation = link.preparation(shape)
            preparation.commands + LinkCommand.Execute(id, preparation.name, arguments, after)
        }
    }
}
