package org.yuccawind.core.primary

import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServiceName

/** Orders promotions from the platform, which carries them out. */
fun interface PrimaryOrders {
    /**
     * Orders the promotion of [server] to primary of [service]. An order without an answer may be
     * carried out seconds later, unless a higher fencing [token] was used in the meantime.
     */
    suspend fun promote(service: ServiceName, server: BackendServerName, token: Long): OrderOutcome
}

/** Outcome of an order. */
sealed interface OrderOutcome {
    /** The platform is carrying out the order. */
    data object Accepted : OrderOutcome

    /** The platform refused the order: the token is outdated or the server is not running. */
    data class Refused(val detail: String) : OrderOutcome

    /** The order had no effect; it may be retried. */
    data class Unavailable(val detail: String) : OrderOutcome

    /** No answer: the order may have been carried out, or may be later. */
    data class NoAnswer(val detail: String) : OrderOutcome
}
