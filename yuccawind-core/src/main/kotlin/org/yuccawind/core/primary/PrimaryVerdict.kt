package org.yuccawind.core.primary

import kotlin.time.Duration.Companion.milliseconds

/** Silence after which a primary is in doubt: several lost probes. */
private val DOUBT_AFTER = 900.milliseconds

/** Age of a registration that shows a dead server: two heartbeats, a poll and the list's lag. */
private val HEARTBEAT_LIMIT = 3_000.milliseconds

/** What follows from [PrimaryFacts]. */
sealed interface PrimaryVerdict {
    /** The primary works as far as is known. */
    data object Trusted : PrimaryVerdict

    /** The primary is in doubt and [reason] speaks against replacing it yet. */
    data class Waiting(val reason: String) : PrimaryVerdict

    /** The primary works and is to be replaced before it goes. */
    data object HandOver : PrimaryVerdict

    /** The group has no primary that works. */
    data class Replace(val reason: String) : PrimaryVerdict

    companion object {
        /** Decides from [facts] alone. */
        fun of(facts: PrimaryFacts): PrimaryVerdict = when {
            facts.silence < DOUBT_AFTER ->
                if (facts.isLeaving && facts.hasSuccessor) HandOver else Trusted

            !facts.areRegistrationsCurrent -> Waiting("registrations can't be read")

            facts.registered == 0 -> Waiting("no server is registered")

            facts.denials == facts.registered -> Replace("every server denies to lead")

            facts.heartbeatAge == null -> Replace("the primary is not registered")

            facts.heartbeatAge >= HEARTBEAT_LIMIT -> Replace("the primary is silent")

            else -> Waiting("the primary still reports to the platform")
        }
    }
}
