package org.yuccawind.core.primary

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import org.yuccawind.core.group.GroupServer
import org.yuccawind.core.group.RegistryView
import org.yuccawind.core.group.ServerGroup
import org.yuccawind.core.port.DecisionLog

/** Pause between two looks at a group. */
private val CHECK_PERIOD = 100.milliseconds

/** Time that each rank leaves to the instances before it, above the time of a claim. */
private val RANK_STAGGER = 120.milliseconds

/** Instances among which ranks are spread. */
private const val RANKS = 8

/** Pause after another instance was found to have the duty, or an order failed. */
private val RETRY_PAUSE = 500.milliseconds

/** Age of an answer that still counts. */
private val RECENT = 1_000.milliseconds

/**
 * Watches the primary of one group and has it replaced when it fails or leaves.
 *
 * Every instance watches; the lease decides which one acts, and ranks keep most of the others from
 * asking for it at the same moment.
 */
class PrimaryWatch(
    private val group: ServerGroup,
    private val registry: RegistryView,
    private val change: PrimaryChange,
    private val instance: String,
    private val log: DecisionLog
) {
    private var verdict: PrimaryVerdict = PrimaryVerdict.Trusted

    /** Watches until cancelled. */
    suspend fun run() {
        while (true) {
            delay(CHECK_PERIOD)
            val next = decide()
            if (next is PrimaryVerdict.Replace || next is PrimaryVerdict.HandOver) act(next)
        }
    }

    private suspend fun act(first: PrimaryVerdict) {
        delay(RANK_STAGGER * rank())
        val again = decide()
        if (again::class != first::class) return
        val isDone = when (again) {
            is PrimaryVerdict.Replace -> change.replace(group)
            PrimaryVerdict.HandOver -> change.handOver(group)
            PrimaryVerdict.Trusted, is PrimaryVerdict.Waiting -> true
        }
        if (!isDone) delay(RETRY_PAUSE)
    }

    private fun rank() = (instance + group.service.value).hashCode().mod(RANKS)

    private fun decide(): PrimaryVerdict {
        val facts = facts()
        val next = PrimaryVerdict.of(facts)
        if (next != verdict) {
            log.record(
                "primary_verdict",
                "service" to group.service,
                "primary" to group.lastLeader?.name,
                "verdict" to next,
                "silence_ms" to facts.silence.inWholeMilliseconds,
                "heartbeat_age_ms" to facts.heartbeatAge?.inWholeMilliseconds,
                "denials" to facts.denials
            )
        }
        verdict = next
        return next
    }

    private fun facts(): PrimaryFacts {
        val primary = group.lastLeader
        return PrimaryFacts(
            silence = group.silence,
            isLeaving = primary?.member?.isLeaving == true,
            hasSuccessor = group.servers.any { it !== primary && !it.member.isLeaving },
            heartbeatAge = primary?.takeIf { it in group.servers }?.let(::heartbeatAge),
            areRegistrationsCurrent = registry.isCurrent,
            denials = group.servers.count { it.isDenying(RECENT) },
            registered = group.servers.size
        )
    }

    /** A server can't report while the platform is away, so that time does not speak against it. */
    private fun heartbeatAge(server: GroupServer): Duration {
        val readable = registry.readableSince?.elapsedNow() ?: Duration.ZERO
        return minOf(server.heartbeatAge, readable)
    }
}
