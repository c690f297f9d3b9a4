package org.yuccawind.core.link

import kotlin.math.ceil
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Share of a server's connections that all instances together may keep unused. */
internal const val IDLE_CONNECTION_SHARE = 0.6

/** Factor on the allowance after the server refused a connection because it was full. */
private const val PRESSURE_FACTOR = 0.5

/** Halvings of the interval in which the idle time is searched; precise to a few milliseconds. */
private const val BISECTION_STEPS = 10

/**
 * This instance's part of the unused connections to one server.
 *
 * The load that it answers: more instances than a server accepts connections, each of which sends
 * it a statement now and then, for many workspaces. All instances together must stay below
 * [maxConnections] without exchanging messages, so each derives its part from the number of live
 * instances.
 *
 * @property maxConnections connections that the server accepts from all instances together
 * @property instances number of live instances; null while it is not known yet
 * @property homes number of instances that keep a connection for their probes
 * @property isHome true if this instance is one of them
 */
internal data class LinkBudget(
    val maxConnections: Int,
    val instances: Int?,
    val homes: Int,
    val isHome: Boolean
) {
    private val maxIdle = maxConnections * IDLE_CONNECTION_SHARE

    /** True if each instance may keep an unused connection all the time. */
    val isRoomForAll = instances != null && instances <= maxIdle.toInt()

    /** Number of connections without a workspace that stay open when idle. */
    val ownFloor get() = if (isHome || isRoomForAll) 1 else 0

    /** Number of instances that keep a connection without a workspace. */
    private val ownKept = if (isRoomForAll) checkNotNull(instances) else homes

    /** Places of this instance that connections of workspaces leave to the proxy's own. */
    val ownReserve get() = if (maxConnections > 1) 1 else 0

    /** Maximum number of this instance's connections that serve workspaces. */
    val workspaceLimit get() = maxConnections - ownReserve

    /**
     * Maximum number of idle connections that serve workspaces. Twice the mean, since few of the
     * instances need the most at the same time.
     */
    fun maxIdleForWorkspaces(isServerFull: Boolean): Int =
        ceil(2 * allowanceForWorkspaces(isServerFull)).toInt().coerceAtLeast(1)

    /**
     * Idle time after which a connection without a workspace may be closed. [rate] is the number of
     * its statements to the server per second.
     */
    fun ownIdleTime(rate: Double, isServerFull: Boolean): Duration {
        if (isHome || isRoomForAll) return MAX_OWN_IDLE_TIME
        val others = (instances ?: return MIN_IDLE_TIME) - homes
        val allowance = (maxIdle - homes).coerceAtLeast(0.0) / others.coerceAtLeast(1)
        return idleTime(listOf(rate), allowance * pressure(isServerFull), MAX_OWN_IDLE_TIME)
    }

    /**
     * Idle time after which a connection of any workspace may be closed. [rates] holds the number
     * of statements to the server per second of each workspace.
     */
    fun workspaceIdleTime(rates: List<Double>, isServerFull: Boolean): Duration =
        idleTime(rates, allowanceForWorkspaces(isServerFull), MAX_WORKSPACE_IDLE_TIME)

    /** Mean number of idle connections for workspaces that this instance may hold. */
    private fun allowanceForWorkspaces(isServerFull: Boolean): Double {
        val sharedBy = instances ?: return 0.0
        return (maxIdle - ownKept).coerceAtLeast(0.0) / sharedBy * pressure(isServerFull)
    }

    private fun pressure(isServerFull: Boolean) = if (isServerFull) PRESSURE_FACTOR else 1.0

    /**
     * Returns the time at which the expected number of idle connections reaches [allowance]. With
     * Poisson arrivals a connection that rests for at most t is there with the probability
     * 1 - exp(-rate * t).
     */
    private fun idleTime(rates: List<Double>, allowance: Double, longest: Duration): Duration {
        fun expected(seconds: Double) = rates.sumOf { 1 - exp(-it * seconds) }
        var low = MIN_IDLE_TIME.toDouble(DurationUnit.SECONDS)
        var high = longest.toDouble(DurationUnit.SECONDS)
        if (expected(high) <= allowance) return longest
        repeat(BISECTION_STEPS) {
            val middle = (low + high) / 2
            if (expected(middle) <= allowance) low = middle else high = middle
        }
        return low.seconds
    }

    companion object {
        /** Shortest idle time, for callers that send one statement after the other. */
        val MIN_IDLE_TIME = 150.milliseconds

        /** Longest idle time of a connection without a workspace above [ownFloor]. */
        val MAX_OWN_IDLE_TIME = 1_500.milliseconds

        /** Longest idle time of a connection that serves a workspace. */
        val MAX_WORKSPACE_IDLE_TIME = 5.seconds
    }
}
