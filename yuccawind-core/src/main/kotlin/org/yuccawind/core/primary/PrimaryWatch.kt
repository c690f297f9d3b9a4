package org.yuccawind.core.primary

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.yuccawind.core.group.RegistryView
import org.yuccawind.core.group.ServerGroup
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.port.DecisionLog

/** Interval between checks of a group. */
private val CHECK_PERIOD = 100.milliseconds

/** Delay per rank before acting; longer than a request for the lease takes. */
private val RANK_STAGGER = 100.milliseconds

/** Number of ranks to which the instances are assigned. */
private const val RANKS = 8

/** Time for the other instances to detect the same failure: half a probe period. */
private val SUSPICION_SPREAD_TIME = 200.milliseconds

/** Delay after another instance was found to hold the lease or an order failed. */
private val RETRY_DELAY = 500.milliseconds

/** Age up to which a denial of leadership counts. */
private val DENIAL_MAX_AGE = 1_000.milliseconds

/**
 * Monitors the primary of one group, and has it replaced when it fails or handed over before it
 * shuts down.
 *
 * Runs on the homes of the service. An unreachable primary is replaced only if a majority of them
 * suspects it. The promotion lease decides which home acts; delays by rank keep most of the others
 * from requesting it at the same moment.
 */
class PrimaryWatch(
    private val group: ServerGroup,
    private val registry: RegistryView,
    private val change: PrimaryChange,
    private val suspicions: SuspicionRegistry,
    private val instance: String,
    private val scope: CoroutineScope,
    private val log: DecisionLog
) {
    private var verdict: PrimaryVerdict = PrimaryVerdict.Trusted
    private var suspected: BackendServerName? = null
    private var job: Job? = null

    /** Monitors the group until cancelled. */
    suspend fun run() {
        while (true) {
            delay(CHECK_PERIOD)
            poll()?.join()
        }
    }

    /**
     * Checks the group once. Any action runs as the returned job, and no further check is made
     * before it has ended. Returns null if nothing is to be done.
     */
    fun poll(): Job? {
        if (job?.isActive == true) return job
        if (!group.isHome && suspected == null) return null
        val next = if (group.isHome) decide() else PrimaryVerdict.Trusted
        if (next !is PrimaryVerdict.Doubted && suspected == null && !isAction(next)) return null
        job = scope.launch { handle(next) }
        return job
    }

    /** Cancels an action in progress, when the group is no longer served. */
    fun close() {
        job?.cancel()
    }

    private suspend fun handle(verdict: PrimaryVerdict) {
        if (verdict is PrimaryVerdict.Doubted) publishSuspicion() else withdrawSuspicion()
        if (isAction(verdict)) act(verdict)
    }

    private fun isAction(verdict: PrimaryVerdict) = when (verdict) {
        PrimaryVerdict.Doubted,
        PrimaryVerdict.Finish,
        PrimaryVerdict.HandOver,
        is PrimaryVerdict.Replace
        -> true

        PrimaryVerdict.Trusted, is PrimaryVerdict.Waiting -> false
    }

    private suspend fun act(initial: PrimaryVerdict) {
        delay(RANK_STAGGER * rank())
        val current = decide()
        if (current::class != initial::class) return
        val isDone = when (current) {
            PrimaryVerdict.Doubted -> isSuspicionShared() && change.replace(group)
            PrimaryVerdict.Finish -> change.finish(group)
            PrimaryVerdict.HandOver -> change.handOver(group)
            is PrimaryVerdict.Replace -> change.replace(group)
            PrimaryVerdict.Trusted, is PrimaryVerdict.Waiting -> true
        }
        if (!isDone) delay(RETRY_DELAY)
    }

    private suspend fun publishSuspicion() {
        val primary = group.lastLeader?.name ?: return
        val isFirst = suspected != primary
        if (isFirst) {
            log.record("doubt_posted", "service" to group.service, "server" to primary)
        }
        suspected = primary
        suspicions.publish(group.service, primary)
        if (isFirst) delay(SUSPICION_SPREAD_TIME)
    }

    private suspend fun withdrawSuspicion() {
        if (suspected == null) return
        suspected = null
        suspicions.withdraw(group.service)
    }

    private suspend fun isSuspicionShared(): Boolean {
        val primary = suspected ?: return false
        val suspecting = suspicions.readSuspectingInstances(group.service, primary) ?: return false
        val count = SuspicionCount.of(suspecting, group.homes)
        log.record(
            "doubt_tallied",
            "service" to group.service,
            "server" to primary,
            "doubters" to count.suspecting,
            "homes" to count.homes
        )
        return count.isMajority
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
                "denials" to facts.denials
            )
        }
        verdict = next
        return next
    }

    private fun suspicionShare(primary: BackendServerName) =
        SuspicionCount.of(suspicions.suspectingInstances(group.service, primary), group.homes).share

    private fun facts(): PrimaryFacts {
        val primary = group.lastLeader
        return PrimaryFacts(
            silence = group.silence,
            isLeaving = primary?.member?.isLeaving == true,
            hasSuccessor = group.servers.any { it !== primary && !it.member.isLeaving },
            hasSeenPrimary = primary != null,
            registryReadableFor = registry.readableSince?.elapsedNow() ?: Duration.ZERO,
            isRegistered = primary != null && primary in group.servers,
            areRegistrationsCurrent = registry.isCurrent,
            isAnswering = group.isLastLeaderAnswering,
            isDenying = primary?.hasDeniedLeadershipWithin(DENIAL_MAX_AGE) == true,
            suspicionShare = primary?.let { suspicionShare(it.name) } ?: 0.0,
            denials = group.servers.count { it.hasDeniedLeadershipWithin(DENIAL_MAX_AGE) },
            registered = group.servers.size,
            hasPausedReplicas = group.hasPausedReplicas
        )
    }
}
