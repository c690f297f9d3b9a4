package org.yuccawind.core.group

import org.yuccawind.core.model.LogPoint

/**
 * The leadership of one server, from its first proof to the next change of primary.
 *
 * @property server the primary
 * @property floor end of the log that it had received when it was found to be primary, applied or
 *   not; null until known
 */
internal class Leadership(
    val server: GroupServer,
    private var term: Long,
    var floor: LogPoint? = null
) {
    /**
     * Returns true if [other], whose log ends at [end], still holds this leadership, and records
     * the log's term. The term rises by one with the first write of a primary; a larger step means
     * that another server was primary in between.
     */
    fun accepts(other: GroupServer, end: LogPoint): Boolean {
        if (other !== server || end.term > term + 1) return false
        term = maxOf(term, end.term)
        return true
    }
}
