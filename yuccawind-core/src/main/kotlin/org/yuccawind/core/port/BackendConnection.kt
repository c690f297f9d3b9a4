package org.yuccawind.core.port

import arrow.core.Either

/** Connection to a backend server; runs one transaction at a time. */
interface BackendConnection {
    /** Runs [command] and returns its answer, never the answer to another command. */
    suspend fun execute(command: Command): Either<BackendError, Answer>

    /** Closes the connection and releases it on the server. */
    suspend fun close()
}
