package org.yuccawind.core.client

import kotlin.time.Duration
import org.yuccawind.core.admission.RefusalReason
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.LogPoint

/** Routing decisions made for one statement, for its log line. */
class StatementTrace {
    /** Server tried last; null when none was tried. */
    var server: BackendServerName? = null
        internal set

    /** Log point that the server's log had to include; null when there was no requirement. */
    var requiredPoint: LogPoint? = null
        internal set

    /** Number of attempts, on any server. */
    var attempts = 0
        internal set

    /** Reason for which the statement was refused before it was sent; null if it was not. */
    var refusal: RefusalReason? = null
        internal set

    /** Total time spent waiting for connections. */
    var linkWait: Duration = Duration.ZERO
        internal set

    /** Adds the attempts and waiting time of [other]; its server and log point take precedence. */
    internal fun merge(other: StatementTrace) {
        server = other.server ?: server
        requiredPoint = other.requiredPoint ?: requiredPoint
        attempts += other.attempts
        refusal = other.refusal ?: refusal
        linkWait += other.linkWait
    }
}
