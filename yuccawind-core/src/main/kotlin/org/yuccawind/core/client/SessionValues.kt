package org.yuccawind.core.client

import org.yuccawind.core.link.SessionImage
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.statement.PreparedShape

/** What belongs to one client's session and to no connection. */
internal class SessionValues {
    private val prepared = HashMap<String, PreparedShape>()

    /** The session's values. */
    var image = SessionImage.EMPTY
        private set

    /** Log point of the session's newest write; null before the first. */
    var written: LogPoint? = null
        private set

    /** Sets a value. */
    fun set(name: String, value: String) {
        image = SessionImage(image.values + (name to value))
    }

    /** Gives [shape] a name. */
    fun prepare(name: String, shape: PreparedShape) {
        prepared[name] = shape
    }

    /** Drops a name; false when there is none. */
    fun deallocate(name: String) = prepared.remove(name) != null

    /** The shape that has [name], or null. */
    fun shapeOf(name: String) = prepared[name]

    /** Takes in that the session wrote [point]. */
    fun noteWrite(point: LogPoint) {
        written = maxOf(written ?: point, point)
    }
}
