package org.yuccawind.core.group

import org.yuccawind.core.model.LogPoint

/**
 * What a server's log must hold before a read may run there.
 *
 * A server compares log numbers only, and numbers are used again after a change of primary that
 * rolled entries back. So the server must also be known to follow the term of [point], or a later
 * one, before its number says anything.
 *
 * @property point the log point; its number is what the server checks
 */
data class ReadNeed(val point: LogPoint) {
    /** True when a server whose log is in [term] has followed every change that matters here. */
    fun isCoveredBy(term: Long) = term >= point.term

    companion object {
        /**
         * The need that follows from [proved] and the session's own newest write.
         *
         * A write of an earlier term was either rolled back or is below [proved].
         */
        fun of(proved: LogPoint, written: LogPoint?) =
            ReadNeed(if (written == null) proved else maxOf(proved, written))
    }
}
