package org.yuccawind.core.config

import java.util.concurrent.atomic.AtomicReference
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * Tracks the time since the records of this instance were last confirmed to be current, that is,
 * since the platform is known to have held no newer record.
 */
class RecordAge {
    private val confirmedAt = AtomicReference<ComparableTimeMark?>()

    /** Records that the platform held no newer record at [mark]; an earlier mark is ignored. */
    fun confirm(mark: ComparableTimeMark) {
        confirmedAt.updateAndGet { old -> if (old == null || old < mark) mark else old }
    }

    /** Records that a peer with no newer records had the record age [age] at [mark]. */
    fun confirm(mark: ComparableTimeMark, age: Duration) = confirm(mark - age)

    /** Returns the current age, or null if the records were never confirmed. */
    fun now(): Duration? = confirmedAt.get()?.elapsedNow()
}
