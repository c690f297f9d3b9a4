package org.yuccawind.core.failover

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.yuccawind.core.model.InstanceId

/** Delay per rank, so that an instance of a lower rank can finish the promotion first. */
internal val RANK_STAGGER = 400.milliseconds

/** Decision derived from [FailoverFacts]. */
sealed interface FailoverVerdict {
    /** The newest certificate for the primary is within the timeout. */
    data object Trusted : FailoverVerdict

    /** The primary is suspected; this instance promotes after [remaining] unless another does. */
    data class Waiting(val remaining: Duration) : FailoverVerdict

    /** This instance reaches no majority, so it may itself be partitioned from the group. */
    data class CutOff(val reached: Int) : FailoverVerdict

    /**
     * [witness] holds a recent certificate for the primary, so the fault lies between this instance
     * and the group.
     */
    data class Contradicted(val witness: InstanceId) : FailoverVerdict

    /** This instance promotes a new primary. */
    data object Promote : FailoverVerdict

    companion object {
        /** Returns the verdict for [facts]; a pure function. */
        fun of(facts: FailoverFacts): FailoverVerdict {
            if (facts.silence <= facts.timeout) return Trusted
            if (facts.reached < facts.majority) return CutOff(facts.reached)
            if (facts.witness != null) return Contradicted(facts.witness)
            val due = facts.timeout + RANK_STAGGER * facts.rank + facts.promotionDelay
            return if (facts.silence < due) Waiting(due - facts.silence) else Promote
        }
    }
}
