package org.yuccawind.core.group

import org.yuccawind.core.model.LogPoint

/**
 * The lead of one server.
 *
 * @property server the primary
 * @property floor end of what it had received when it was found to lead, applied or not; null until
 *   it is known
 */
internal class Lead(val server: GroupServer, private var term: Long, var floor: LogPoint? = null) {
    /**
     * True when [other] with its log at [end] goes on with this lead. The term of the log rises by
     * one with the first write of a lead; by more when another server led in between.
     */
    fun isContinuedBy(other: GroupServer, end: LogPoint): Boolean {
        if (other !== server || end.term > term + 1) return false
        term = maxOf(term, end.term)
        return true
    }
}
