package org.yuccawind.core.route

import kotlin.time.Duration
import org.yuccawind.core.model.ServiceName

/**
 * Where the sessions of one database name go.
 *
 * @property database the name that clients connect to
 * @property service the group of servers behind it
 * @property freshness what its reads must see
 * @property statementLimit greatest time for one statement
 * @property latencyGoal time within which a whole operation should be answered
 * @property priority 0 is the highest
 */
data class Route(
    val database: String,
    val service: ServiceName,
    val freshness: Freshness,
    val statementLimit: Duration,
    val latencyGoal: Duration,
    val priority: Int
)

/** What the reads of a route must see. */
sealed interface Freshness {
    /** Every write acknowledged before the read. */
    data object Latest : Freshness

    /** Every write acknowledged more than [maxAge] before the read. */
    data class Bounded(val maxAge: Duration) : Freshness

    /** As [Bounded], and every write of the session itself. */
    data class OwnWrites(val maxAge: Duration) : Freshness
}
