package org.yuccawind.core.primary

import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServiceName

/** Orders changes of primary where the platform carries them out. */
fun interface PrimaryOrders {
    /**
     * Orders that [server] leads [service]. An order without an answer may be carried out seconds
     * later; the platform refuses it then if a higher [token] was used meanwhile.
     */
    suspend fun promote(service: ServiceName, server: BackendServerName, token: Long): OrderOutcome
}

/** What became of an order. */
sealed interface OrderOutcome {
    /** It is being carried out. */
    data object Accepted : OrderOutcome

    /** It was refused: its token is too old, or the server does not run. */
    data class Refused(val detail: String) : OrderOutcome

    /** Nothing was done, for now. */
    data class Unavailable(val detail: String) : OrderOutcome

    /** It may have been carried out, or may be later. */
    data class NoAnswer(val detail: String) : OrderOutcome
}
