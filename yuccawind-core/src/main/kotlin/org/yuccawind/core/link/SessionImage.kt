package org.yuccawind.core.link

/**
 * The values of a session, which must stand on a link before a statement of that session runs.
 *
 * @property values values by name, in the order in which they were first set
 */
data class SessionImage(val values: Map<String, String>) {
    companion object {
        /** The state of a new connection. */
        val EMPTY = SessionImage(emptyMap())
    }
}
