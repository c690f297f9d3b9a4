package org.yuccawind.core.failover

import java.util.concurrent.atomic.AtomicReference
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource
import org.yuccawind.core.model.BackendServerName

/**
 * Holds new writes and transactions during a hand-over and once the primary is leaving.
 *
 * @property time the clock
 * @property isClosed returns true for a server to which no new writes may be sent
 */
class WriteGate(
    private val time: TimeSource.WithComparableMarks,
    private val isClosed: (BackendServerName) -> Boolean = { false }
) {
    private val hold = AtomicReference<Hold?>()

    /** Returns true if new writes may be sent to [primary]. */
    fun admits(primary: BackendServerName): Boolean = !isHeld(primary) && !isClosed(primary)

    /**
     * Holds new writes to [primary] for [duration] or until [release]. Replaces an earlier hold.
     */
    fun hold(primary: BackendServerName, duration: Duration) =
        hold.set(Hold(primary, time.markNow() + duration))

    /** Ends the current hold, if any. */
    fun release() = hold.set(null)

    private fun isHeld(primary: BackendServerName): Boolean {
        val current = hold.get() ?: return false
        return current.primary == primary && current.until.hasNotPassedNow()
    }

    private class Hold(val primary: BackendServerName, val until: ComparableTimeMark)
}
