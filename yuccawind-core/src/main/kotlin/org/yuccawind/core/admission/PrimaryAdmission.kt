package org.yuccawind.core.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Time from the last proof of a lost primary within which its successor has proved itself: the
 * interval of proofs, the timeout after which a primary is suspected, the agreement, and the
 * promotion.
 */
private val PRIMARY_CHANGE_TIME = 3_000.milliseconds

/**
 * Parts into which a statement's goal is divided while this instance has never seen a primary: two
 * further attempts of the client at other instances, and the answer.
 */
internal const val PARTS_OF_GOAL = 4

/** Parts of a statement's time in the same case: the wait here, and an attempt elsewhere. */
private const val PARTS_OF_TIME = 2

/** What an instance knows about the primary of a service. */
sealed interface PrimaryBelief {
    /** A primary is known, or no attempt to prove it has failed for long. */
    data object Expected : PrimaryBelief

    /** No primary has proved itself to this instance since its start. */
    data object NotSeenYet : PrimaryBelief

    /** No server of the service answers this instance any more; others may reach them. */
    data object CutOff : PrimaryBelief

    /**
     * The last primary does not answer and there has been no proof for [silence], but other servers
     * of the service answer.
     */
    data class Lost(val silence: Duration) : PrimaryBelief
}

/**
 * Decides whether a statement waits for proof of a primary.
 *
 * Load: an instance that cannot serve yet or any more, with clients that other instances could
 * serve. Requests that it holds to their deadline are lost. A change of primary is worth waiting
 * for, since no other instance serves the statement earlier, if it ends within the time left.
 */
object PrimaryAdmission {
    /** Decides about a statement that needs proof of the primary and has none. */
    fun decide(belief: PrimaryBelief, demand: StatementDemand): Admission {
        val timeLeft = demand.timeLeft
        if (timeLeft <= Duration.ZERO) return Admission.Refuse(RefusalReason.OUT_OF_TIME)
        return when (belief) {
            PrimaryBelief.Expected -> Admission.Wait(timeLeft)
            PrimaryBelief.NotSeenYet -> untilFirstSeen(demand, timeLeft)
            PrimaryBelief.CutOff -> Admission.Refuse(RefusalReason.PRIMARY_LOST)
            is PrimaryBelief.Lost -> untilChanged(belief.silence, timeLeft)
        }
    }

    private fun untilFirstSeen(demand: StatementDemand, timeLeft: Duration): Admission {
        val patience =
            maxOf(demand.targetLatency / PARTS_OF_GOAL, demand.timeout / PARTS_OF_TIME)
        val limit = minOf(patience - demand.waited, timeLeft)
        if (limit <= Duration.ZERO) return Admission.Refuse(RefusalReason.NO_PRIMARY_YET)
        return Admission.Wait(limit)
    }

    private fun untilChanged(silence: Duration, timeLeft: Duration): Admission {
        val rest = PRIMARY_CHANGE_TIME - silence
        if (rest <= Duration.ZERO) return Admission.Refuse(RefusalReason.PRIMARY_LOST)
        if (rest > timeLeft) return Admission.Refuse(RefusalReason.PRIMARY_LOST, rest)
        return Admission.Wait(rest)
    }
}
