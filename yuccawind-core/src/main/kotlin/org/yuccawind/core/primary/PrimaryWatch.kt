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

/** Pause between two looks at a group. */
private val CHECK_PERIOD = 100.milliseconds

/** Time that each rank leaves to the instances before it, above the time of a claim. */
private val RANK_STAGGER = 100.milliseconds

/** Instances among which ranks are spread. */
private const val RANKS = 8

/** Time in which the other instances find out about a failure as well: half a probe period. */
private val POST_TIME = 200.milliseconds

/** Pause after another instance was found to have the duty, or an order failed. */
private val RETRY_PAUSE = 500.milliseconds

/** Age of an answer that still counts. */
private val RECENT = 1_000.milliseconds

/**
 * Watches the primary of one group and has it replaced when it fails or leaves.
 *
 * The homes of the service watch. A primary that is merely out of reach is replaced when most of
 * them say so. The lease decides which of them acts, and ranks keep most of the others from asking
 * for it at the same moment.
 */
class PrimaryWatch(
    private val group: ServerGroup,
    private val registry: RegistryView,
    private val change: PrimaryChange,
    private val board: DoubtBoard,
    private val instance: String,
    private val scope: CoroutineScope,
    private val log: DecisionLog
) {
    private var verdict: PrimaryVerdict = PrimaryVerdict.Trusted
    private var posted: BackendServerName? = null
    private var step: Job? = null

    /** Watches until cancelled. */
    suspend fun run() {
        while (true) {
            delay(CHECK_PERIOD)
            poll()?.join()
        }
    }

    /**
     * Looks at the group once. What follows from it goes on as the returned job; nothing is looked
     * at before it has ended.
     */
    fun poll(): Job? {
        if (step?.isActive == true) return step
        if (!group.isHome && posted == null) return null
        val next = if (group.isHome) decide() else PrimaryVerdict.Trusted
        if (next !is PrimaryVerdict.Doubted && posted == null && !isAction(next)) return null
        step = scope.launch { follow(next) }
        return step
    }

    /** Ends what is going on; the group is no longer served. */
    fun close() {
        step?.cancel()
    }

    private suspend fun follow(verdict: PrimaryVerdict) {
        if (verdict is PrimaryVerdict.Doubted) post() else withdraw()
        if (isAction(verdict)) act(verdict)
    }

    private fun isAction(verdict: PrimaryVerdict) = when (verdict) {
        PrimaryVerdict.Doubted, PrimaryVerdict.HandOver, is PrimaryVerdict.Replace -> true
        PrimaryVerdict.Trusted, is PrimaryVerdict.Waiting -> false
    }

    private suspend fun act(first: PrimaryVerdict) {
        delay(RANK_STAGGER * rank())
        val again = decide()
        if (again::class != first::class) return
        val isDone = when (again) {
            PrimaryVerdict.Doubted -> isDoubtShared() && change.replace(group)
            PrimaryVerdict.HandOver -> change.handOver(group)
            is PrimaryVerdict.Replace -> change.replace(group)
            PrimaryVerdict.Trusted, is PrimaryVerdict.Waiting -> true
        }
        if (!isDone) delay(RETRY_PAUSE)
    }

    private suspend fun post() {
        val primary = group.lastLeader?.name ?: return
        val isFirst = posted != primary
        if (isFirst) {
            log.record("doubt_posted", "service" to group.service, "server" to primary)
        }
        posted = primary
        board.post(group.service, primary)
        if (isFirst) delay(POST_TIME)
    }

    private suspend fun withdraw() {
        if (posted == null) return
        posted = null
        board.withdraw(group.service)
    }

    private suspend fun isDoubtShared(): Boolean {
        val primary = posted ?: return false
        val doubters = board.readDoubters(group.service, primary) ?: return false
        val tally = Tally.of(doubters, group.homes)
        log.record(
            "doubt_tallied",
            "service" to group.service,
            "server" to primary,
            "doubters" to tally.doubters,
            "homes" to tally.homes
        )
        return tally.isMajority
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

    private fun doubtShare(primary: BackendServerName) =
        Tally.of(board.doubters(group.service, primary), group.homes).share

    private fun facts(): PrimaryFacts {
        val primary = group.lastLeader
        return PrimaryFacts(
            silence = group.silence,
            isLeaving = primary?.member?.isLeaving == true,
            hasSuccessor = group.servers.any { it !== primary && !it.member.isLeaving },
            isKnown = primary != null,
            listedFor = registry.readableSince?.elapsedNow() ?: Duration.ZERO,
            isRegistered = primary != null && primary in group.servers,
            areRegistrationsCurrent = registry.isCurrent,
            isAnswering = group.isLastLeaderAnswering,
            doubtShare = primary?.let { doubtShare(it.name) } ?: 0.0,
            denials = group.servers.count { it.isDenying(RECENT) },
            registered = group.servers.size
        )
    }
}
