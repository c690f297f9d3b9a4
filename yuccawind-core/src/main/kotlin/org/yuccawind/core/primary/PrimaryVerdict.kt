package org.yuccawind.core.primary

import kotlin.time.Duration.Companion.milliseconds

/** Time without a proof after which a primary is suspected: several lost probes. */
private val SUSPICION_TIMEOUT = 900.milliseconds

/**
 * Time without a proof after which a primary that denies its leadership is suspected. A change of
 * primary in progress is complete by then.
 */
private val STEP_DOWN_TIMEOUT = 2_500.milliseconds

/** Time within which all servers of a new deployment register: four heartbeats. */
private val REGISTRATION_PERIOD = 5_000.milliseconds

/** Share of homes without access to a working primary from which it is handed over. */
private const val HANDOVER_SUSPICION_SHARE = 0.3

/** Decision about the primary of a group, derived from [PrimaryFacts]. */
sealed interface PrimaryVerdict {
    /** The primary is considered healthy. */
    data object Trusted : PrimaryVerdict

    /** There is no proof of a primary, but no action is possible yet, for [reason]. */
    data class Waiting(val reason: String) : PrimaryVerdict

    /** The primary does not answer this instance; a majority decides whether it has failed. */
    data object Doubted : PrimaryVerdict

    /**
     * The primary works and is to be handed over, because it shuts down or a large share of the
     * homes cannot reach it.
     */
    data object HandOver : PrimaryVerdict

    /**
     * Replicas are paused, so a change of primary was begun and not completed. No commit is
     * acknowledged until it is.
     */
    data object Finish : PrimaryVerdict

    /** The group has no working primary. */
    data class Replace(val reason: String) : PrimaryVerdict

    companion object {
        /** Returns the verdict that follows from [facts]. */
        fun of(facts: PrimaryFacts): PrimaryVerdict = when {
            facts.hasPausedReplicas && facts.areRegistrationsCurrent -> Finish

            facts.silence < SUSPICION_TIMEOUT -> if (shouldHandOver(facts)) HandOver else Trusted

            !facts.areRegistrationsCurrent -> Waiting("registrations can't be read")

            facts.registered == 0 -> Waiting("no server is registered")

            facts.denials == facts.registered -> verdictWithoutLeader(facts)

            // After a restart, an unreachable primary cannot be distinguished from a missing one.
            !facts.hasSeenPrimary -> Waiting("no primary has been seen yet")

            !facts.isRegistered -> Replace("the primary is not registered")

            // Its successor may have been left without an order.
            facts.isDenying && facts.silence >= STEP_DOWN_TIMEOUT -> Doubted

            // Open transactions may hold all of its connections, which prevents probes.
            facts.isAnswering -> Trusted

            else -> Doubted
        }

        private fun verdictWithoutLeader(facts: PrimaryFacts) =
            if (facts.hasSeenPrimary || facts.registryReadableFor >= REGISTRATION_PERIOD) {
                Replace("every server denies being the primary")
            } else {
                Waiting("servers may still register")
            }

        private fun shouldHandOver(facts: PrimaryFacts) = facts.hasSuccessor &&
            (facts.isLeaving || facts.suspicionShare >= HANDOVER_SUSPICION_SHARE)
    }
}
