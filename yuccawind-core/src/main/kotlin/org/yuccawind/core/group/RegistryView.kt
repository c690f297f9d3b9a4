package org.yuccawind.core.group

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.yuccawind.core.model.StoreRevision

/**
 * Time after an outage or a restore of the platform's store within which servers write their
 * registrations again.
 */
private val REREGISTRATION_GRACE = 2_500.milliseconds

/** Time without a successful read after which the registrations are stale: two missed reads. */
private val STALE_AFTER = 2_500.milliseconds

/** View of the backend server registrations as last read from the platform. */
class RegistryView(private val time: TimeSource.WithComparableMarks) {
    /** Store revision of the last applied read. */
    var revision = StoreRevision.NONE
        private set
    private var readAt: ComparableTimeMark? = null

    /**
     * Current registrations, with lapsed ones kept during the grace period after an outage or a
     * restore.
     */
    var registrations: List<Registration> = emptyList()
        private set

    /** Start of the current period of uninterrupted reads in one era; null while reads fail. */
    var readableSince: ComparableTimeMark? = null
        private set

    /** True if the registrations are readable and not stale. */
    val isCurrent get() = readableSince != null &&
        readAt?.let { it.elapsedNow() < STALE_AFTER } == true

    /**
     * Applies registrations read at store revision [revision]. Returns false if it ignored them
     * because they are older than those applied before.
     */
    fun onRead(revision: StoreRevision, listed: List<Registration>): Boolean {
        if (revision < this.revision) return false
        val isFirst = readAt == null
        val isRestored = revision.era > this.revision.era
        this.revision = revision
        val gap = readAt?.elapsedNow()
        val now = time.markNow()
        val hadOutage = readableSince == null || (gap != null && gap >= STALE_AFTER)
        if (hadOutage || isRestored) readableSince = now
        readAt = now
        registrations = if (isFirst || !isInGracePeriod()) listed else mergeWithKnown(listed)
        return true
    }

    /** Records a failed read of the registrations. */
    fun onFailure() {
        if (!isCurrent) readableSince = null
    }

    private fun isInGracePeriod() =
        readableSince?.let { it.elapsedNow() < REREGISTRATION_GRACE } == true

    /**
     * Adds the servers that are missing in [listed]. A restored store lists servers as they were
     * at the time of its copy, so what is known to be newer is kept as well.
     */
    private fun mergeWithKnown(listed: List<Registration>): List<Registration> {
        val known = registrations.associateBy { it.member.name }
        val listedNames = listed.mapTo(HashSet()) { it.member.name }
        val merged = listed.map { next ->
            known[next.member.name]?.takeIf { it.member.isNewerThan(next.member) } ?: next
        }
        return merged + registrations.filter { it.member.name !in listedNames }
    }
}
