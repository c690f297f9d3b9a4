package org.yuccawind.core.route

import kotlin.time.Duration
import org.yuccawind.core.model.ServiceName

/**
 * Route of the sessions that connect to one database name.
 *
 * @property database database name that clients connect to
 * @property service service whose backend servers run the statements
 * @property freshness consistency required of its reads
 * @property statementTimeout timeout of one statement
 * @property targetLatency time within which an operation should be answered
 * @property priority priority when waiting for a connection; 0 is the highest
 * @property allowsAnonymous true if clients need no key
 */
data class Route(
    val database: String,
    val service: ServiceName,
    val freshness: Freshness,
    val statementTimeout: Duration,
    val targetLatency: Duration,
    val priority: Int,
    val allowsAnonymous: Boolean = false
)

/** Writes that the reads of a route must see. */
sealed interface Freshness {
    /** Every write acknowledged before the read. */
    data object Latest : Freshness

    /** Every write acknowledged more than [maxAge] before the read. */
    data class Bounded(val maxAge: Duration) : Freshness

    /** As [Bounded], and additionally every write of the session itself. */
    data class OwnWrites(val maxAge: Duration) : Freshness
}
