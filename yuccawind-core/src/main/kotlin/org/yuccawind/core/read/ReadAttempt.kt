package org.yuccawind.core.read

import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.result.Refusal
import org.yuccawind.core.result.ResultCode

/**
 * State of one read while it is tried on one server after another.
 *
 * @property request the read
 * @property rotation sequence number of the read, for round-robin among equivalent servers
 */
internal class ReadAttempt(val request: ReadRequest, val rotation: Int) {
    /** Servers tried without success on the current evidence. */
    val triedServers = HashSet<BackendServerName>()

    /** The last refusal because no connection or queue capacity was available. */
    var lastRefusal: Refusal? = null

    /** The refusal to return without further retries; null unless a queue was overloaded. */
    val overloadRefusal get() = lastRefusal?.takeIf { it.code == ResultCode.OVERLOADED }

    /** Makes every server eligible again. */
    fun reset() {
        triedServers.clear()
        lastRefusal = null
    }
}

/** Result of trying the read on one server. */
internal sealed interface ReadStep {
    /** The answer satisfies the read. */
    data class Served(val result: ReadResult) : ReadStep

    /** The read failed and is not retried. */
    data class Refused(val refusal: Refusal) : ReadStep

    /** The server did not answer, or its answer is too old; the next server is tried. */
    data object TryNext : ReadStep

    /** No untried server is left until new evidence arrives. */
    data object Exhausted : ReadStep
}
