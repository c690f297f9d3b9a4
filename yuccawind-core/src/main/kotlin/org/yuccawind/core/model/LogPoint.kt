package org.yuccawind.core.model

import kotlinx.serialization.Serializable

/**
 * A point in the log of a database group, ordered by term and then by position.
 *
 * A server whose log ends at or after a point holds every write that was acknowledged up to it:
 * within a term a single primary assigns the positions, and the first entry of a later term
 * follows every acknowledged write of the earlier ones.
 *
 * @property term term of the primary that appended the entry; 0 for none
 * @property position index of the entry in the log, counted from 1; 0 for an empty log
 */
@Serializable
data class LogPoint(val term: Long, val position: Long) : Comparable<LogPoint> {
    override fun compareTo(other: LogPoint) =
        compareValuesBy(this, other, LogPoint::term, LogPoint::position)

    override fun toString() = "$term.$position"

    companion object {
        /** The point before the first entry of any log. */
        val ZERO = LogPoint(0, 0)

        /** Parses the output of [toString]; null when [text] is malformed. */
        fun parse(text: String): LogPoint? {
            val term = text.substringBefore('.').toLongOrNull() ?: return null
            val position = text.substringAfter('.', "").toLongOrNull() ?: return null
            return if (term < 0 || position < 0) null else LogPoint(term, position)
        }
    }
}
