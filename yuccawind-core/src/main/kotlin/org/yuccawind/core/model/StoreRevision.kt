package org.yuccawind.core.model

/**
 * Position in the history of the platform's store.
 *
 * A store that is restored from an older copy begins a new era and counts on from the number of the
 * copy, so numbers of different eras can't be compared.
 *
 * @property era number of the era; rises by one with each restore
 * @property number number of the change within the era and the copy that it began with
 */
data class StoreRevision(val era: Long, val number: Long) : Comparable<StoreRevision> {
    override fun compareTo(other: StoreRevision) =
        compareValuesBy(this, other, StoreRevision::era, StoreRevision::number)

    override fun toString() = "$era/$number"

    companion object {
        /** The revision before all others. */
        val NONE = StoreRevision(era = 0, number = 0)
    }
}
