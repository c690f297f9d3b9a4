package org.yuccawind.core.group

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Time after an outage of the platform within which servers renew lapsed registrations. */
private val REREGISTRATION_GRACE = 2_500.milliseconds

/** Time without a successful read after which the registrations are stale: two missed reads. */
private val STALE_AFTER = 2_500.milliseconds

/** View of the backend server registrations as last read from the platform. */
class RegistryView(private val time: TimeSource.WithComparableMarks) {
    /** Store revision of the last applied read; 0 before the first. */
    var revision = 0L
        private set
    private var readAt: ComparableTimeMark? = null

    /** Current registrations, with lapsed ones kept during the grace period after an outage. */
    var registrations: List<Registration> = emptyList()
        private set

    /** Start of the current period of uninterrupted reads; null while reads fail. */
    var readableSince: ComparableTimeMark? = null
        private set

    /** True if the registrations are readable and not stale. */
    val isCurrent get() = readableSince != null &&
        readAt?.let { it.elapsedNow() < STALE_AFTER } == true

    /**
     * Applies registrations read at store revision [revision]. Returns false if it ignored them
     * because they are older than those applied before.
     */
    fun onRead(revision: Long, listed: List<Registration>): Boolean {
        if (revision < this.revision) return false
        this.revision = revision
        val isFirst = readAt == null
        val gap = readAt?.elapsedNow()
        val now = time.markNow()
        if (readableSince == null || (gap != null && gap >= STALE_AFTER)) readableSince = now
        readAt = now
        registrations = if (isFirst || !isInGracePeriod()) listed else listed + missing(listed)
        return true
    }

    /** Records a failed read of the registrations. */
    fun onFailure() {
        if (!isCurrent) readableSince = null
    }

    private fun isInGracePeriod() =
        readableSince?.let { it.elapsedNow() < REREGISTRATION_GRACE } == true

    private fun missing(listed: List<Registration>): List<Registration> {
        val names = listed.mapTo(HashSet()) { it.member.name }
        return registrations.filter { it.member.name !in names }
    }
}
