package org.yuccawind.core.link

import arrow.core.Either
import org.yuccawind.core.group.GroupMember
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.workspace.WorkspaceName

/** Opens connections to backend servers. */
fun interface ServerConnector {
    /**
     * Opens a connection to [member] for [workspace] and verifies the identity of the server. A
     * connection without a workspace serves anonymous callers and the proxy itself.
     */
    suspend fun open(
        service: ServiceName,
        member: GroupMember,
        workspace: WorkspaceName?
    ): Either<OpenError, ServerLink>
}

/** Why no connection could be opened. */
sealed interface OpenError {
    /** Cause in one line, for logs. */
    val detail: String

    /** The server accepts no further connection. */
    data class TooMany(override val detail: String) : OpenError

    /** A server other than the expected one answered at this address. */
    data class WrongServer(override val detail: String) : OpenError

    /** The server refused the connection, or did not answer in time. */
    data class Unreachable(override val detail: String) : OpenError
}
