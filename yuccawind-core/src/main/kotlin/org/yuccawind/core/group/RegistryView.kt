package org.yuccawind.core.group

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Time after an outage in which registrations that lapsed meanwhile come back. */
private val RETURN_GRACE = 2_500.milliseconds

/** Time without a read after which the registrations count as unknown: two missed reads. */
private val CURRENT_LIMIT = 2_500.milliseconds

/** The registrations of backend servers, as far as the platform could be read. */
class RegistryView(private val time: TimeSource.WithComparableMarks) {
    private var revision = 0L
    private var readAt: ComparableTimeMark? = null

    /** The servers to use. */
    var registrations: List<Registration> = emptyList()
        private set

    /** Since when the registrations could be read without a pause; null while they can't. */
    var readableSince: ComparableTimeMark? = null
        private set

    /** True when the registrations were read lately. */
    val isCurrent get() = readableSince != null &&
        readAt?.let { it.elapsedNow() < CURRENT_LIMIT } == true

    /** Takes in what was read at store revision [revision]; an older state is left out. */
    fun onRead(revision: Long, listed: List<Registration>) {
        if (revision < this.revision) return
        this.revision = revision
        val isFirst = readAt == null
        val gap = readAt?.elapsedNow()
        val now = time.markNow()
        if (readableSince == null || (gap != null && gap >= CURRENT_LIMIT)) readableSince = now
        readAt = now
        registrations = if (isFirst || !isInGrace()) listed else listed + missing(listed)
    }

    /** Takes in that the platform could not be read. */
    fun onFailure() {
        if (!isCurrent) readableSince = null
    }

    private fun isInGrace() = readableSince?.let { it.elapsedNow() < RETURN_GRACE } == true

    private fun missing(listed: List<Registration>): List<Registration> {
        val names = listed.mapTo(HashSet()) { it.member.name }
        return registrations.filter { it.member.name !in names }
    }
}
