package org.yuccawind.core.group

import org.yuccawind.core.model.LogPoint

/**
 * The log point that a server must have applied before a read may run on it.
 *
 * A server compares log positions only, and positions are reused after a change of primary that
 * rolled entries back. So its position counts only if the server is known to follow the term of
 * [point] or a later one.
 *
 * @property point the log point; the server checks its position only
 */
data class ReadRequirement(val point: LogPoint) {
    /** Returns true if a log in [term] follows the term of [point] or a later one. */
    fun isCoveredBy(term: Long) = term >= point.term

    companion object {
        /**
         * Returns the requirement for a read that must see [proved] and the session's newest write
         * [written], if any.
         *
         * The later of the two suffices: a write of an earlier term was either rolled back or is
         * below [proved].
         */
        fun of(proved: LogPoint, written: LogPoint?) =
            ReadRequirement(if (written == null) proved else maxOf(proved, written))
    }
}
