package org.yuccawind.core.failover

import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServerStatus

/**
 * Progress of a promotion. A promoter may crash in any phase, repeat it or be superseded in it
 * without violating safety.
 */
sealed interface PromotionPhase {
    /** Initial phase. */
    data object Start : PromotionPhase

    /** The term record was read; [current] is null if the service was never promoted. */
    data class Read(val current: VersionedTerm?) : PromotionPhase

    /** This promoter has taken [term]: the record holds it with this promoter's nonce. */
    data class Taken(val term: Long, val version: Long) : PromotionPhase

    /** A majority is fenced at [term] and has reported its log ends in [answers]. */
    data class Fenced(
        val term: Long,
        val version: Long,
        val answers: Map<BackendServerName, ServerStatus>
    ) : PromotionPhase

    /** The record names [primary] for [term]. */
    data class Named(val term: Long, val primary: BackendServerName) : PromotionPhase

    /** [primary] was promoted in [term]. */
    data class Done(val term: Long, val primary: BackendServerName) : PromotionPhase

    /**
     * Another promoter took over or a step failed; the next attempt starts with a fresh read.
     *
     * @property reason why the attempt ended
     * @property inProgress version of a record of another promoter in progress, or null
     */
    data class Abandoned(val reason: String, val inProgress: Long? = null) : PromotionPhase
}
