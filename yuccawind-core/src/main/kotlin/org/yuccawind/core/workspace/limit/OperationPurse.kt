package org.yuccawind.core.workspace.limit

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Time after a refusal in which further operations are refused without asking the keeper. */
private val REFUSED_TIME = 30.milliseconds

/** Period over which the rate of operations is measured. */
private val RATE_PERIOD = 1.seconds

/** Part of the operations expected during a grant that is requested ahead. */
private const val AHEAD_SHARE = 0.5

/** What one instance may start of one workspace at present. */
class OperationPurse(startedAt: ComparableTimeMark) {
    private var spare = 0
    private var spareUntil = startedAt
    private var refusedUntil = startedAt
    private var isLimited = false
    private var periodAt = startedAt
    private var arrivals = 0
    private var lastArrivals = 0

    /** Counts one operation and decides on it, or returns null if the keeper must be asked. */
    fun tryStart(now: ComparableTimeMark): Boolean? {
        countArrival(now)
        if (now >= spareUntil) spare = 0
        return when {
            spare > 0 -> true.also { spare-- }
            now < refusedUntil -> false
            else -> null
        }
    }

    /** Number of operations to request for [waiting] ones. */
    fun wanted(waiting: Int): Int {
        if (isLimited) return waiting
        val expected = lastArrivals * ShareTerms.GRANT_TTL.toDouble(DurationUnit.SECONDS)
        return waiting + (expected * AHEAD_SHARE).toInt()
    }

    /**
     * Handles the grant of [granted] operations, requested at [sentAt] for [waiting] ones. Returns
     * how many of these may start.
     */
    fun onGrant(
        granted: Int,
        waiting: Int,
        sentAt: ComparableTimeMark,
        now: ComparableTimeMark
    ): Int {
        val usable = if (now - sentAt < ShareTerms.GRANT_TTL) granted else 0
        isLimited = usable < waiting
        if (isLimited) refusedUntil = now + REFUSED_TIME
        spare = maxOf(0, usable - waiting)
        spareUntil = sentAt + ShareTerms.GRANT_TTL
        return minOf(usable, waiting)
    }

    /** Forgets what was granted, which a suspension made void. */
    fun onSuspension() {
        spare = 0
    }

    private fun countArrival(now: ComparableTimeMark) {
        if (now - periodAt >= RATE_PERIOD) {
            lastArrivals = if (now - periodAt < RATE_PERIOD * 2) arrivals else 0
            arrivals = 0
            periodAt = now
        }
        arrivals++
    }
}
