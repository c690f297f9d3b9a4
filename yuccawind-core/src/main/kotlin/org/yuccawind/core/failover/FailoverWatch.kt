package org.yuccawind.core.failover

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import org.yuccawind.core.membership.Rendezvous
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.service.NodeContext
import org.yuccawind.core.service.ServiceContext

private val CHECK_PERIOD = 50.milliseconds
private val EXTRA_PROBE_SILENCE = 400.milliseconds
private val RECENT_ANSWER_AGE = 1_000.milliseconds

/**
 * Monitors the primary of one service and starts a failover when no majority confirms it any more.
 *
 * @property context the service
 * @property node state and settings shared by all services of the instance
 * @property terms the term record of the service
 * @property reachability tracks which servers refuse connections
 */
class FailoverWatch(
    private val context: ServiceContext,
    private val node: NodeContext,
    private val terms: TermRecords,
    private val reachability: Reachability
) {
    private val service: ServiceName get() = context.config.name
    private var detector = FailureDetector(node.detection, context.time.markNow())
    private var inProgressVersion: Long? = null
    private var verdict: FailoverVerdict = FailoverVerdict.Trusted

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            delay(CHECK_PERIOD)
            check()
        }
    }

    private suspend fun check() {
        context.evidence.newestCertificate()?.let { detector = detector.afterCertificate(it) }
        val facts = currentFacts()
        if (facts.silence > EXTRA_PROBE_SILENCE) context.prober.requestRound()
        val next = FailoverVerdict.of(facts)
        node.promotionPacer.setSuspected(service, next !is FailoverVerdict.Trusted)
        if (next::class != verdict::class) logVerdict(next, facts)
        verdict = next
        if (next is FailoverVerdict.Promote) failOver(facts.rank)
    }

    private fun currentFacts(): FailoverFacts {
        val timeout = detector.timeout(isPrimaryRefusingConnections())
        return FailoverFacts(
            silence = detector.silentSince.elapsedNow(),
            timeout = timeout,
            rank = rank(),
            promotionDelay = node.promotionPacer.delayFor(service),
            reached = context.evidence.observations().count {
                it.receivedAt.elapsedNow() < RECENT_ANSWER_AGE
            },
            majority = context.config.majority,
            witness = node.clusterView.peerWithCertificate(service, timeout)
        )
    }

    private fun isPrimaryRefusingConnections() =
        context.evidence.newestCertificate()?.let { reachability.isRefusing(it.primary) } ?: false

    private fun rank() =
        Rendezvous.zoneBalancedRank(service.value, node.instance, node.clusterView.members())

    private fun logVerdict(next: FailoverVerdict, facts: FailoverFacts) = context.log.record(
        "failover_verdict",
        "service" to service,
        "primary" to context.evidence.newestCertificate()?.primary,
        "verdict" to next,
        "silence_ms" to facts.silence.inWholeMilliseconds,
        "limit_ms" to facts.timeout.inWholeMilliseconds,
        "rank" to facts.rank,
        "reached" to facts.reached
    )

    private suspend fun failOver(rank: Int) {
        context.log.record(
            "failover_start",
            "service" to service,
            "reason" to "no_majority_behind_primary",
            "rank" to rank
        )
        val group = PromotionGroup(context.servers, context.config.majority)
        val outcome = Promotion(terms, group, context.log, detector.term, inProgressVersion).run()
        inProgressVersion = (outcome as? PromotionPhase.Abandoned)?.inProgress
        context.prober.requestRound()
        if (outcome is PromotionPhase.Done) {
            detector = detector.afterPromotion(context.time.markNow(), outcome.term)
        } else {
            delay(RANK_STAGGER * (1 + rank))
        }
    }
}
