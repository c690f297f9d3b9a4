package org.yuccawind.core.workspace.limit

import kotlin.math.floor
import org.yuccawind.core.workspace.RateLimit
import org.yuccawind.core.workspace.WorkspaceName

/**
 * Token buckets of a keeper, one for each workspace with traffic. A bucket fills by the share
 * seconds that the keeper held, and holds at most its present share of the burst. It starts empty:
 * what a former keeper granted is not known.
 *
 * @param allowance operations that all instances together may start beyond the burst
 */
class GrantBuckets(private val shares: HeldShares, private val allowance: Double) : Granter {
    private val buckets = HashMap<WorkspaceName, Bucket>()

    override fun take(workspace: WorkspaceName, limit: RateLimit, wanted: Int): Int {
        // An unused bucket is as one that was empty when the share last fell.
        val bucket = buckets.getOrPut(workspace) { Bucket(countedTo = shares.fellAt) }
        bucket.fill(limit)
        val granted = minOf(wanted, floor(bucket.tokens + ROUNDING).toInt()).coerceAtLeast(0)
        bucket.tokens -= granted
        return granted
    }

    override fun onShareChange() {
        buckets.values.forEach { it.clamp() }
    }

    private inner class Bucket(private var countedTo: Double) {
        var tokens = 0.0
        private var capacity = 0.0

        fun fill(limit: RateLimit) {
            capacity = limit.burst + allowance
            tokens += (shares.integral - countedTo) * limit.perSecond
            countedTo = shares.integral
            clampTo(capacity)
            lastRate = limit.perSecond
        }

        /** Lowers the tokens to the present share, counting the time before. */
        fun clamp() {
            tokens += (shares.integral - countedTo) * lastRate
            countedTo = shares.integral
            clampTo(capacity)
        }

        private var lastRate = 0.0

        private fun clampTo(full: Double) {
            tokens = minOf(tokens, full * shares.held)
        }
    }

    private companion object {
        /** Tolerance for sums of floating point numbers. */
        const val ROUNDING = 1e-9
    }
}
