package org.yuccawind.core.primary

import kotlin.time.Duration.Companion.milliseconds

/** Silence after which a primary is in doubt: several lost probes. */
private val DOUBT_AFTER = 900.milliseconds

/** Time in which all servers of a new deployment register: four heartbeats. */
private val REGISTRATION_TIME = 5_000.milliseconds

/** Part of the instances out of a working primary's reach at which another one serves better. */
private const val WIDE_DOUBT = 0.3

/** What follows from [PrimaryFacts]. */
sealed interface PrimaryVerdict {
    /** The primary works as far as is known. */
    data object Trusted : PrimaryVerdict

    /** The primary is in doubt and nothing can be done for [reason]. */
    data class Waiting(val reason: String) : PrimaryVerdict

    /** The primary does not answer here; whether it fails is for most instances to say. */
    data object Doubted : PrimaryVerdict

    /** The primary works and is to be replaced before it goes. */
    data object HandOver : PrimaryVerdict

    /** The group has no primary that works. */
    data class Replace(val reason: String) : PrimaryVerdict

    companion object {
        /** Decides from [facts] alone. */
        fun of(facts: PrimaryFacts): PrimaryVerdict = when {
            facts.silence < DOUBT_AFTER -> if (isToGo(facts)) HandOver else Trusted

            !facts.areRegistrationsCurrent -> Waiting("registrations can't be read")

            facts.registered == 0 -> Waiting("no server is registered")

            facts.denials == facts.registered -> leaderless(facts)

            // After a restart a primary that is out of reach looks like none at all.
            !facts.isKnown -> Waiting("no primary has been seen yet")

            !facts.isRegistered -> Replace("the primary is not registered")

            // Its connections may all be held by open transactions, so that no proof is had.
            facts.isAnswering -> Trusted

            else -> Doubted
        }

        private fun leaderless(facts: PrimaryFacts) =
            if (facts.isKnown || facts.listedFor >= REGISTRATION_TIME) {
                Replace("every server denies to lead")
            } else {
                Waiting("servers may still register")
            }

        private fun isToGo(facts: PrimaryFacts) =
            facts.hasSuccessor && (facts.isLeaving || facts.doubtShare >= WIDE_DOUBT)
    }
}
