package org.yuccawind.core.evidence

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import org.yuccawind.core.model.LogPoint

/**
 * Estimates the replication lag of one server: the time between this instance observing a log
 * point in the group and the server having replicated it.
 *
 * Each reported log end bounds the lag from both sides. The server has replicated the last
 * observed point at or before its log end (upper bound) but not the first one after it (lower
 * bound). The estimate is kept between the two.
 */
internal class CatchUpEstimate {
    private var lag = Duration.ZERO

    /** Most recently reported log end of the server. */
    var end = LogPoint.ZERO
        private set

    /**
     * Updates the estimate after the server reported the log end [reported] at [at], given the
     * group's [history].
     */
    fun update(reported: LogPoint, at: ComparableTimeMark, history: LogEndHistory) {
        end = reported
        val firstMissing = history.firstAfter(reported)
        val lastReplicated = history.lastAtOrBefore(reported)
        if (firstMissing != null) lag = maxOf(lag, at - firstMissing.observedAt)
        if (lastReplicated != null) lag = minOf(lag, at - lastReplicated.observedAt)
        lag = lag.coerceAtLeast(Duration.ZERO)
    }

    /**
     * Returns the expected time until the server has replicated [point], or null if [history]
     * contains no log end at or after it.
     */
    fun timeUntil(point: LogPoint, history: LogEndHistory): Duration? {
        if (end >= point) return Duration.ZERO
        val observed = history.firstAtOrAfter(point) ?: return null
        return (lag - observed.observedAt.elapsedNow()).coerceAtLeast(Duration.ZERO)
    }
}
