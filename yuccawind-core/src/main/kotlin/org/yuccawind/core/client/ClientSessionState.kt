package org.yuccawind.core.client

import org.yuccawind.core.link.SessionVariables
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.statement.PreparedShape

/** Memory of an entry besides its characters: map node, strings and their arrays, in bytes. */
internal const val ENTRY_BYTES = 200

/** State of one client session that is independent of the connections it uses. */
internal class ClientSessionState(private val limit: SessionStateLimit) {
    private val prepared = HashMap<String, PreparedShape>()

    /** Session variables set by the client. */
    var variables = SessionVariables.EMPTY
        private set

    /** Log point of the session's latest write; null before the first. */
    var lastWrite: LogPoint? = null
        private set

    /** Size of the names and values of the session variables and prepared statements. */
    var bytes = 0L
        private set

    /** Sets a session variable. Returns false if the session's limit does not allow it. */
    fun set(name: String, value: String): Boolean {
        val old = variables.values[name]
        if (!tryReplace(name, old, value)) return false
        variables = SessionVariables(variables.values + (name to value))
        return true
    }

    /**
     * Registers a prepared statement, replacing one of the same name. Returns false if the
     * session's limit does not allow it.
     */
    fun prepare(name: String, shape: PreparedShape): Boolean {
        if (!tryReplace(name, prepared[name]?.body, shape.body)) return false
        prepared[name] = shape
        return true
    }

    /** Removes a prepared statement. Returns false if none has this name. */
    fun deallocate(name: String): Boolean {
        val shape = prepared.remove(name) ?: return false
        bytes -= name.length + shape.body.length + ENTRY_BYTES
        return true
    }

    private fun tryReplace(name: String, old: String?, new: String): Boolean {
        val added =
            if (old == null) name.length + new.length + ENTRY_BYTES else new.length - old.length
        val names = prepared.size + variables.values.size
        if (old == null && names >= limit.names) return false
        if (added > 0 && bytes + added > limit.bytes) return false
        bytes += added
        return true
    }

    /** Returns the prepared statement with this name, or null. */
    fun shapeOf(name: String) = prepared[name]

    /** Records a write of the session at [point]. */
    fun recordWrite(point: LogPoint) {
        lastWrite = maxOf(lastWrite ?: point, point)
    }
}
