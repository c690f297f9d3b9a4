package org.yuccawind.core.load

import kotlin.math.pow
import kotlin.math.sqrt

private const val SEARCH_STEPS = 24

/**
 * Mean wait at a server that works on several statements at a time, by Sakasegawa's approximation
 * of the M/M/c queue (Annals of the Institute of Statistical Mathematics 29, 1977). It also holds
 * for a number of slots that is not whole.
 *
 * The offered work is the mean number of slots that the statements occupy.
 */
internal object QueueModel {
    /** Returns the ratio of the mean answer time with waiting to that without. */
    fun slowdown(offered: Double, slots: Double): Double {
        if (offered >= slots) return Double.POSITIVE_INFINITY
        val utilization = offered / slots
        val exponent = sqrt(2 * (slots + 1)) - 1
        return 1 + utilization.pow(exponent) / (slots * (1 - utilization))
    }

    /**
     * Returns the number of slots, at most [maxSlots], that a server of this [slowdown] under
     * [offered] work has.
     */
    fun slots(offered: Double, slowdown: Double, maxSlots: Double): Double {
        if (slowdown <= 1 || slowdown(offered, maxSlots) >= slowdown) return maxSlots
        var low = offered
        var high = maxSlots
        repeat(SEARCH_STEPS) {
            val middle = (low + high) / 2
            if (slowdown(offered, middle) > slowdown) low = middle else high = middle
        }
        return high
    }
}
