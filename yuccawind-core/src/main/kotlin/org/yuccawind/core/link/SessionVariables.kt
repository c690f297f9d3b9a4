package org.yuccawind.core.link

/**
 * Variables of a client session. They must be set on a link before a statement of the session runs
 * there.
 *
 * @property values values by variable name, in the order in which they were first set
 */
data class SessionVariables(val values: Map<String, String>) {
    companion object {
        /** No variables, as on a new connection. */
        val EMPTY = SessionVariables(emptyMap())
    }
}
