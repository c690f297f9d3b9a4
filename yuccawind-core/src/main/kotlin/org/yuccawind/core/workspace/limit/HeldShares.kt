package org.yuccawind.core.workspace.limit

import kotlin.time.ComparableTimeMark
import kotlin.time.DurationUnit

/**
 * Shares of one shard that a keeper was promised, and their integral over time. Each of the fleet's
 * instances holds an equal share, so the shares of all keepers sum to at most one.
 */
class HeldShares(startedAt: ComparableTimeMark) {
    private val shares = HashMap<String, Share>()
    private var fleetSize = 1
    private var countedTo = startedAt

    /** Integral of [held] over time, in share seconds. */
    var integral = 0.0
        private set

    /** [integral] when [held] last fell. */
    var fellAt = 0.0
        private set

    /** Part of the limits that this keeper may grant, 0 to 1. */
    var held = 0.0
        private set

    /** Number of times that [held] fell. */
    var falls = 0L
        private set

    private val divisor get() = maxOf(fleetSize, shares.size)

    /** Number of instances whose share is held. */
    val count get() = shares.size

    /** Counts the time until [now] and drops shares whose time is over. */
    fun advance(now: ComparableTimeMark) {
        if (now > countedTo) {
            val seconds = shares.values.sumOf { (minOf(now, it.until) - countedTo).inSeconds() }
            integral += seconds / divisor
            countedTo = now
        }
        if (shares.values.removeIf { it.until <= now }) update()
    }

    /** Sets the number of instances among which the limits are divided. It never falls. */
    fun onFleetSize(size: Int, now: ComparableTimeMark) {
        if (size <= fleetSize) return
        advance(now)
        fleetSize = size
        update()
    }

    /**
     * Adds the share of [member], promised after [sentAt]. Returns false, and changes nothing, if
     * its time is over or a promise to a later request is known.
     */
    fun add(
        member: String,
        serial: Long,
        sentAt: ComparableTimeMark,
        now: ComparableTimeMark
    ): Boolean {
        val until = sentAt + ShareTerms.TERM
        val known = shares[member]
        if (until <= now || (known != null && until < known.until)) return false
        advance(now)
        shares[member] = Share(serial, until)
        update()
        return true
    }

    /** Drops all shares. Returns their serial numbers by instance. */
    fun drop(now: ComparableTimeMark): Map<String, Long> {
        advance(now)
        val serials = shares.mapValues { it.value.serial }
        shares.clear()
        update()
        return serials
    }

    private fun update() {
        val next = shares.size.toDouble() / divisor
        if (next < held) {
            fellAt = integral
            falls++
        }
        held = next
    }

    private fun kotlin.time.Duration.inSeconds() = toDouble(DurationUnit.SECONDS).coerceAtLeast(0.0)

    private class Share(val serial: Long, val until: ComparableTimeMark)
}
