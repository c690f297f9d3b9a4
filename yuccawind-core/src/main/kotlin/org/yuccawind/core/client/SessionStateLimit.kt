package org.yuccawind.core.client

/**
 * Limit on the session variables and prepared statements of one session.
 *
 * @property bytes maximum size of their names and values in bytes
 * @property names maximum number of them
 */
data class SessionStateLimit(val bytes: Long, val names: Int) {
    companion object {
        /** No limit. */
        val NONE = SessionStateLimit(Long.MAX_VALUE, Int.MAX_VALUE)
    }
}
