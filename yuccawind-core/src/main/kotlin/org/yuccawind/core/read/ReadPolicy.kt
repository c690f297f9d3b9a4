package org.yuccawind.core.read

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val TIE_TOLERANCE = 1.milliseconds

/**
 * Chooses the server for a read. The choice is only a prediction: after the read, the log end of
 * the answer decides whether the answer is accepted.
 */
sealed class ReadPolicy {
    /** Sends every read to the primary; a baseline for comparison. */
    data object PrimaryOnly : ReadPolicy()

    /** Chooses the nearest replica that is already caught up, else the primary. */
    data object ReplicaWithoutWait : ReadPolicy()

    /**
     * Chooses the replica with the lowest expected latency, including the wait for it to catch up.
     * Prefers a replica to the primary to offload the primary, unless it is expected to be slower
     * than the primary by more than [maxExtraLatency].
     *
     * @property maxExtraLatency additional latency allowed for using a replica; 25 ms by default
     * @property maxCatchUpWait maximum wait for a replica to catch up; 25 ms by default
     */
    data class Predicted(
        val maxExtraLatency: Duration = 25.milliseconds,
        val maxCatchUpWait: Duration = 25.milliseconds
    ) : ReadPolicy()

    /** Chooses among [candidates]; [rotation] selects round-robin among equivalent ones. */
    fun choose(candidates: List<ReadCandidate>, rotation: Int): ReadChoice {
        val best = when (this) {
            PrimaryOnly -> null

            ReplicaWithoutWait ->
                cheapest(
                    candidates.filter { !it.isPrimary && it.catchUp == Duration.ZERO },
                    rotation
                )

            is Predicted -> cheapest(candidates.filter { isAcceptable(it, candidates) }, rotation)
        }
        val chosen = best ?: candidates.filter { it.isPrimary }.minByOrNull(::cost)
        return chosen?.let(::toChoice) ?: ReadChoice.None
    }

    private fun Predicted.isAcceptable(
        candidate: ReadCandidate,
        all: List<ReadCandidate>
    ): Boolean {
        if (candidate.isPrimary) return false
        val primary = all.filter { it.isPrimary }.minOfOrNull(::cost) ?: return true
        val catchesUpInTime = (candidate.catchUp ?: Duration.ZERO) <= maxCatchUpWait
        return catchesUpInTime && cost(candidate) <= primary + maxExtraLatency
    }

    private fun cheapest(candidates: List<ReadCandidate>, rotation: Int): ReadCandidate? {
        val lowest = candidates.minOfOrNull(::cost) ?: return null
        val equals = candidates.filter { cost(it) <= lowest + TIE_TOLERANCE }
            .sortedBy { it.server.value }
        return equals[rotation.mod(equals.size)]
    }

    private fun toChoice(candidate: ReadCandidate): ReadChoice {
        val wait = if (candidate.isPrimary) Duration.ZERO else candidate.catchUp ?: Duration.ZERO
        return when {
            wait > Duration.ZERO -> ReadChoice.SendAfterWait(candidate, wait)
            else -> ReadChoice.Send(candidate)
        }
    }

    /**
     * Returns the expected latency of the read. An unknown catch-up time counts as zero, so that
     * the server is tried and its answer reveals its log position.
     */
    private fun cost(candidate: ReadCandidate) =
        (candidate.catchUp ?: Duration.ZERO) + candidate.roundTrip + candidate.queueWait
}

/** Decision of a [ReadPolicy]. */
sealed interface ReadChoice {
    /** Send the read to [candidate] now. */
    data class Send(val candidate: ReadCandidate) : ReadChoice

    /** Send the read to [candidate] after [wait], when it is expected to have caught up. */
    data class SendAfterWait(val candidate: ReadCandidate, val wait: Duration) : ReadChoice

    /** No server is available. */
    data object None : ReadChoice
}
