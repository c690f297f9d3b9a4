package org.yuccawind.core.load

/**
 * State of a server at one instance, or summed over several.
 *
 * @property inProgress statements in progress
 * @property waiting callers that wait for a connection
 */
internal data class ServerState(val inProgress: Int, val waiting: Int) {
    operator fun plus(other: ServerState) =
        ServerState(inProgress + other.inProgress, waiting + other.waiting)

    companion object {
        val IDLE = ServerState(0, 0)
    }
}
