package org.yuccawind.core.failover

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import org.yuccawind.core.membership.Rendezvous
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.service.NodeContext
import org.yuccawind.core.service.ServiceContext

private val CHECK_PERIOD = 50.milliseconds
private val PROBE_AFTER = 400.milliseconds
private val RECENT_ANSWER = 1_000.milliseconds

/**
 * Watches the primary of one service and replaces it once no majority stands behind it.
 *
 * @property context the service
 * @property node what the instance knows of its surroundings
 * @property terms the service's record of terms
 * @property reachability which servers refuse connections
 */
class FailoverWatch(
    private val context: ServiceContext,
    private val node: NodeContext,
    private val terms: TermRecords,
    private val reachability: Reachability
) {
    private val service: ServiceName get() = context.config.name
    private var suspicion = Suspicion(node.detection, context.time.markNow())
    private var inProgress: Long? = null
    private var verdict: FailoverVerdict = FailoverVerdict.Trusted

    /** Watches until cancelled. */
    suspend fun run() {
        while (true) {
            delay(CHECK_PERIOD)
            check()
        }
    }

    private suspend fun check() {
        context.evidence.newestCertificate()?.let { suspicion = suspicion.after(it) }
        val facts = facts()
        if (facts.silence > PROBE_AFTER) context.prober.request()
        val next = FailoverVerdict.of(facts)
        node.promotionPacer.note(service, next !is FailoverVerdict.Trusted)
        if (next::class != verdict::class) report(next, facts)
        verdict = next
        if (next is FailoverVerdict.Promote) replace(facts.rank)
    }

    private fun facts(): FailoverFacts {
        val limit = suspicion.limit(isPrimaryRefusing())
        return FailoverFacts(
            silence = suspicion.since.elapsedNow(),
            limit = limit,
            rank = rank(),
            spread = node.promotionPacer.spread(service),
            reached = context.evidence.observations().count {
                it.receivedAt.elapsedNow() < RECENT_ANSWER
            },
            majority = context.config.majority,
            witness = node.surroundings.peerWithCertificate(service, limit)
        )
    }

    private fun isPrimaryRefusing() =
        context.evidence.newestCertificate()?.let { reachability.isRefusing(it.primary) } ?: false

    private fun rank() =
        Rendezvous.spreadRank(service.value, node.instance, node.surroundings.members())

    private fun report(next: FailoverVerdict, facts: FailoverFacts) = context.log.record(
        "failover_verdict",
        "service" to service,
        "primary" to context.evidence.newestCertificate()?.primary,
        "verdict" to next,
        "silence_ms" to facts.silence.inWholeMilliseconds,
        "limit_ms" to facts.limit.inWholeMilliseconds,
        "rank" to facts.rank,
        "reached" to facts.reached
    )

    private suspend fun replace(rank: Int) {
        context.log.record(
            "failover_start",
            "service" to service,
            "reason" to "no_majority_behind_primary",
            "rank" to rank
        )
        val group = PromotionGroup(context.servers, context.config.majority)
        val end = Promotion(terms, group, context.log, suspicion.term, inProgress).run()
        inProgress = (end as? PromotionPhase.Abandoned)?.inProgress
        context.prober.request()
        if (end is PromotionPhase.Done) {
            suspicion = suspicion.restart(context.time.markNow(), end.term)
        } else {
            delay(RANK_STAGGER * (1 + rank))
        }
    }
}
