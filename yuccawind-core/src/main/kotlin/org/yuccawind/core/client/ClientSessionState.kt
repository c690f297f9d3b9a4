package org.yuccawind.core.client

import org.yuccawind.core.link.SessionVariables
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.statement.PreparedShape

/** State of one client session that is independent of the connections it uses. */
internal class ClientSessionState {
    private val prepared = HashMap<String, PreparedShape>()

    /** Session variables set by the client. */
    var variables = SessionVariables.EMPTY
        private set

    /** Log point of the session's latest write; null before the first. */
    var lastWrite: LogPoint? = null
        private set

    /** Sets a session variable. */
    fun set(name: String, value: String) {
        variables = SessionVariables(variables.values + (name to value))
    }

    /** Registers a prepared statement, replacing one of the same name. */
    fun prepare(name: String, shape: PreparedShape) {
        prepared[name] = shape
    }

    /** Removes a prepared statement. Returns false if none has this name. */
    fun deallocate(name: String) = prepared.remove(name) != null

    /** Returns the prepared statement with this name, or null. */
    fun shapeOf(name: String) = prepared[name]

    /** Records a write of the session at [point]. */
    fun recordWrite(point: LogPoint) {
        lastWrite = maxOf(lastWrite ?: point, point)
    }
}
