package org.yuccawind.core.port

/** Reason why a command on a backend server failed. */
sealed interface BackendError {
    /** One-line description for logs and callers. */
    val detail: String

    /** The command was never sent, so it did not run. */
    data class NotSent(override val detail: String) : BackendError

    /** The command was sent but its answer was lost, so it may have run. */
    data class Lost(override val detail: String) : BackendError

    /** The server is not the primary of the requested term; the command did not run. */
    data class NotPrimary(override val detail: String) : BackendError

    /** The server has no free connection; the command did not run. */
    data class NoConnection(override val detail: String) : BackendError

    /** The statement failed on the server; its transaction is rolled back. */
    data class Failed(override val detail: String) : BackendError
}
