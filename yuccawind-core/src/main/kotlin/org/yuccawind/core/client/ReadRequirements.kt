package org.yuccawind.core.client

import arrow.core.Either
import kotlin.time.Duration.Companion.milliseconds
import org.yuccawind.core.admission.Admission
import org.yuccawind.core.admission.StatementDemand
import org.yuccawind.core.group.ReadRequirement
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
     * Returns the requirement of a read with [demand] under [route], or why it is refused for want
     * of a proof of the primary's log end.
     */
    suspend fun find(
        group: ServerGroup,
        route: Route,
        sessionState: ClientSessionState,
        demand: StatementDemand
    ): Either<Admission.Refuse, ReadRequirement> {
        val arrivedAt = demand.arrivedAt
        val now = arrivedAt + arrivedAt.elapsedNow()
        val since = when (val freshness = route.freshness) {
            Freshness.Latest -> arrivedAt
            is Freshness.Bounded -> now - (freshness.maxAge - STALENESS_MARGIN)
            is Freshness.OwnWrites -> now - (freshness.maxAge - STALENESS_MARGIN)
        }
        return group.pointSince(since, demand)
            .map { ReadRequirement.of(it, sessionState.lastWrite) }
    }
}
