package org.yuccawind.core.client

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.yuccawind.core.group.ReadNeed
import org.yuccawind.core.group.ServerGroup
import org.yuccawind.core.route.Freshness
import org.yuccawind.core.route.Route

/**
 * Deducted from the staleness bound to allow for the time between choosing the required log point
 * and running the read on the server.
 */
private val STALENESS_MARGIN = 50.milliseconds

/** Determines which log point a server's log must include before it may run a read. */
internal object ReadRequirements {
    /**
     * Returns the requirement of a read that arrived at [arrivedAt] under [route], or null when no
     * proof of the primary's log end was available within [timeout].
     */
    suspend fun find(
        group: ServerGroup,
        route: Route,
        sessionState: ClientSessionState,
        arrivedAt: ComparableTimeMark,
        timeout: Duration
    ): ReadNeed? {
        val now = arrivedAt + arrivedAt.elapsedNow()
        val since = when (val freshness = route.freshness) {
            Freshness.Latest -> arrivedAt
            is Freshness.Bounded -> now - (freshness.maxAge - STALENESS_MARGIN)
            is Freshness.OwnWrites -> now - (freshness.maxAge - STALENESS_MARGIN)
        }
        val point = group.pointSince(since, timeout) ?: return null
        return ReadNeed.of(point, sessionState.lastWrite)
    }
}
