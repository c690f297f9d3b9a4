package org.yuccawind.core.client

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.yuccawind.core.group.ReadRequirement
import org.yuccawind.core.group.ServerGroup
import org.yuccawind.core.route.Freshness
import org.yuccawind.core.route.Route

/** Taken off a bound for the way from the choice of evidence to the server. */
private val AGE_MARGIN = 50.milliseconds

/** Finds what a server's log must hold for a read that arrived at a given time. */
internal object ReadNeeds {
    /** The need of a read under [route]; null when no evidence was had within [patience]. */
    suspend fun find(
        group: ServerGroup,
        route: Route,
        values: SessionValues,
        arrivedAt: ComparableTimeMark,
        patience: Duration
    ): ReadRequirement? {
        val now = arrivedAt + arrivedAt.elapsedNow()
        val since = when (val freshness = route.freshness) {
            Freshness.Latest -> arrivedAt
            is Freshness.Bounded -> now - (freshness.maxAge - AGE_MARGIN)
            is Freshness.OwnWrites -> now - (freshness.maxAge - AGE_MARGIN)
        }
        val point = group.pointSince(since, patience) ?: return null
        return ReadRequirement.of(point, values.written)
    }
}
