package org.yuccawind.core.workspace.limit

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import org.yuccawind.core.workspace.RateLimit

/** Bounds of the time after a refusal in which the keeper isn't asked again. */
private val REFUSED_TIMES = 30.milliseconds..200.milliseconds

/** Requests of all instances for each operation that the limit allows, once it is reached. */
private const val ASKS_PER_OPERATION = 3

/** Period over which the rate of operations is measured. */
private val RATE_PERIOD = 1.seconds

/** Part of the operations expected during a grant that is requested ahead. */
private const val AHEAD_SHARE = 0.5

/** What one instance may start of one workspace at present. */
class OperationPurse(startedAt: ComparableTimeMark) {
    private var spare = 0
    private var spareUntil = startedAt
    private var refusedUntil = startedAt
    private var periodAt = startedAt
    private var arrivals = 0
    private var lastArrivals = 0

    /** Counts one operation and decides on it, or returns null if the keeper must be asked. */
    fun tryStart(now: ComparableTimeMark): Boolean? {
        countArrival(now)
        if (now >= spareUntil) spare = 0
        return when {
            spare > 0 -> true.also { spare-- }
            isRefused(now) -> false
            else -> null
        }
    }

    /** True while the keeper is not asked because it refused. */
    fun isRefused(now: ComparableTimeMark) = now < refusedUntil

    /** Number of operations to request for [waiting] ones. */
    fun wanted(waiting: Int): Int {
        val expected = lastArrivals * ShareTerms.GRANT_TTL.toDouble(DurationUnit.SECONDS)
        return waiting + (expected * AHEAD_SHARE).toInt()
    }

    /**
     * Handles the grant of [granted] operations, requested at [sentAt] for [waiting] ones. Returns
     * how many of these may start. After a refusal the keeper is left alone for [refusedFor].
     */
    fun onGrant(
        granted: Int,
        waiting: Int,
        sentAt: ComparableTimeMark,
        now: ComparableTimeMark,
        refusedFor: Duration
    ): Int {
        val usable = if (now - sentAt < ShareTerms.GRANT_TTL) granted else 0
        if (usable < waiting) refusedUntil = now + refusedFor
        spare = maxOf(0, usable - waiting)
        spareUntil = sentAt + ShareTerms.GRANT_TTL
        return minOf(usable, waiting)
    }

    /** Forgets what was granted, which a suspension made void. */
    fun onSuspension() {
        spare = 0
    }

    companion object {
        /** Returns the time to leave the keeper alone after a refusal, for [instances] that ask. */
        fun refusedFor(limit: RateLimit, instances: Int): Duration {
            val asksPerSecond = limit.perSecond * ASKS_PER_OPERATION / instances
            val interval = if (asksPerSecond > 0) (1 / asksPerSecond).seconds else Duration.INFINITE
            return interval.coerceIn(REFUSED_TIMES)
        }
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
