package org.yuccawind.core.port

import arrow.core.Either
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServerStatus

/** Client of one backend server. The adapter applies a timeout to every call. */
interface BackendServer {
    /** Name within its service. */
    val name: BackendServerName

    /** Reads fence, log end and role. */
    suspend fun status(): Either<BackendError, ServerStatus>

    /** Opens a connection; suspends for as long as the server takes to accept it. */
    suspend fun open(): Either<BackendError, BackendConnection>

    /** Makes the server refuse writes and replication from terms below [term]. */
    suspend fun fence(term: Long): Either<BackendError, ServerStatus>

    /** Promotes the server to primary of [term]; the server refuses a term below its fence. */
    suspend fun promote(term: Long): Either<BackendError, ServerStatus>
}
