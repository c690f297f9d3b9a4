package org.yuccawind.core.workspace.limit

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.yuccawind.core.workspace.RateLimit
import org.yuccawind.core.workspace.WorkspaceName

/** Interval between requests for the shares; two may be lost within one [ShareTerms.TERM]. */
private val ROUND_PERIOD = 1_300.milliseconds

/** Interval between requests while the shares are collected. */
private val FIRST_ROUNDS_PERIOD = 300.milliseconds

/** Time for which a new keeper requests shares at the shorter interval. */
private val COLLECTING_TIME = 3.seconds

/** Time without a request for operations after which a keeper that isn't the first one stops. */
private val UNUSED_TIME = 5.seconds

/** Time for which an instance that yielded to another keeper doesn't become one again. */
private val YIELD_TIME = 1.seconds

/**
 * Keeper of one shard: collects the shares of the instances and grants operations from them.
 * Which instance acts as keeper affects efficiency but not safety: two of them hold disjoint
 * shares. Makes no calls and reads no clock.
 *
 * @param self name of this instance
 * @param granterOf returns the granter for the shares
 */
class ShareKeeper(
    private val self: String,
    startedAt: ComparableTimeMark,
    granterOf: (HeldShares) -> Granter
) {
    private val shares = HeldShares(startedAt)
    private val granter = granterOf(shares)
    private val holders = HashMap<String, String>()
    private var activeSince = startedAt
    private var usedAt = startedAt
    private var roundAt = startedAt
    private var inactiveUntil = startedAt

    /** True while this instance collects shares. */
    var isActive = false
        private set

    /** Another keeper of the shard, as last seen; null for none. */
    var rival: String? = null
        private set

    /** Part of the limits that this keeper may grant, 0 to 1. */
    val held get() = shares.held

    /** Integral of [held] over time, in share seconds. */
    val shareSeconds get() = shares.integral

    /** Begins to collect shares, unless this instance yielded to another keeper just now. */
    fun activate(now: ComparableTimeMark) {
        if (isActive || now < inactiveUntil) return
        isActive = true
        rival = null
        activeSince = now
        usedAt = now
        roundAt = now - ROUND_PERIOD
        holders.clear()
    }

    /** Returns true, once for each period, when the shares must be requested. */
    fun isRoundDue(now: ComparableTimeMark): Boolean {
        val period =
            if (now - activeSince < COLLECTING_TIME) FIRST_ROUNDS_PERIOD else ROUND_PERIOD
        if (!isActive || now - roundAt < period) return false
        roundAt = now
        return true
    }

    /** Sets the number of instances among which the limits are divided. */
    fun onFleetSize(size: Int, now: ComparableTimeMark) = changeShares {
        shares.onFleetSize(size, now)
    }

    /** Handles the [reply] of [member] to a request of [sentAt]. Returns false if it is void. */
    fun onReply(
        member: String,
        reply: ShareReply,
        sentAt: ComparableTimeMark,
        now: ComparableTimeMark
    ): Boolean {
        if (!isActive || sentAt < activeSince) return false
        return when (reply) {
            is ShareReply.Given -> {
                holders.remove(member)
                var isAdded = false
                changeShares { isAdded = shares.add(member, reply.serial, sentAt, now) }
                isAdded
            }

            is ShareReply.HeldBy -> {
                if (reply.keeper != self) holders[member] = reply.keeper
                true
            }

            ShareReply.NotYet -> {
                holders.remove(member)
                true
            }
        }
    }

    /**
     * Returns true if this keeper must stop: another one that answers holds more shares, or this
     * one isn't asked and [isFirst] is false.
     */
    fun mustStop(now: ComparableTimeMark, isFirst: Boolean, answers: (String) -> Boolean): Boolean {
        if (!isActive) return false
        val strongest = holders.values.groupingBy { it }.eachCount()
            .filterKeys(answers)
            .maxWithOrNull(
                compareBy<Map.Entry<String, Int>> { it.value }.thenByDescending { it.key }
            )
        if (strongest != null) {
            val (keeper, count) = strongest
            val isStronger = count > shares.count || (count == shares.count && keeper < self)
            if (isStronger) rival = keeper
            if (isStronger) return true
        }
        return !isFirst && now - usedAt > UNUSED_TIME
    }

    /** Stops, and returns the serial numbers of the promises to give back, by instance. */
    fun stop(now: ComparableTimeMark): Map<String, Long> {
        isActive = false
        inactiveUntil = now + YIELD_TIME
        holders.clear()
        return drop(now)
    }

    /** Drops all shares, which a suspension made void, and goes on collecting. */
    fun onSuspension(now: ComparableTimeMark) {
        drop(now)
        activeSince = now
    }

    /** Grants up to [wanted] operations of [workspace]. */
    fun take(
        workspace: WorkspaceName,
        limit: RateLimit,
        wanted: Int,
        now: ComparableTimeMark
    ): Int {
        usedAt = now
        changeShares { shares.advance(now) }
        return if (isActive) granter.take(workspace, limit, wanted) else 0
    }

    private fun drop(now: ComparableTimeMark): Map<String, Long> {
        var dropped = emptyMap<String, Long>()
        changeShares { dropped = shares.drop(now) }
        return dropped
    }

    private inline fun changeShares(change: () -> Unit) {
        val falls = shares.falls
        change()
        if (shares.falls > falls) granter.onShareChange()
    }
}
