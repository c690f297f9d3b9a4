package org.yuccawind.core.client

import kotlin.time.Duration
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.LogPoint

/** What decided the way of one statement, for its line in the log. */
class StatementTrace {
    /** The server that was asked last; null when none was. */
    var server: BackendServerName? = null
        internal set

    /** Log point that the server had to hold; null where none was needed. */
    var need: LogPoint? = null
        internal set

    /** Servers asked. */
    var attempts = 0
        internal set

    /** Time spent waiting for connections. */
    var linkWait: Duration = Duration.ZERO
        internal set

    /** Takes in what [other] tells of an earlier part of the way. */
    internal fun add(other: StatementTrace) {
        server = other.server ?: server
        need = other.need ?: need
        attempts += other.attempts
        linkWait += other.linkWait
    }
}
