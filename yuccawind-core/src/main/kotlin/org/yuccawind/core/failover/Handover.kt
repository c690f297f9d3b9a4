package org.yuccawind.core.failover

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import arrow.core.right
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.evidence.Certificate
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServerStatus
import org.yuccawind.core.result.Refusal
import org.yuccawind.core.result.ResultCode
import org.yuccawind.core.service.ServiceContext

private val HOLD_LIMIT = 800.milliseconds
private val CATCH_UP_LIMIT = 250.milliseconds
private val CATCH_UP_CHECK = 5.milliseconds
private const val QUIET_CHECKS = 2
private val RECENT_ANSWER = 1_000.milliseconds
private const val RETRY_AFTER_MS = 1_000L

/**
 * Moves the primary of one service while it still works.
 *
 * New writes wait meanwhile, on the other instances too where they hear of it. Correctness stays
 * with terms and majorities: the preference only decides among servers that hold every
 * acknowledged write.
 *
 * @property context the service
 * @property terms its record of terms
 * @property notifier asks the other instances to hold their writes back
 */
class Handover(
    private val context: ServiceContext,
    private val terms: TermRecords,
    private val notifier: HandoverNotifier
) {
    /** Makes [server] the primary, or refuses with [ResultCode.HANDOVER_FAILED]. */
    suspend fun to(server: BackendServerName): Either<Refusal, PromotionPhase.Done> = either {
        ensure(server in context.servers) { failed("$server is not in the group") }
        val current = ensureNotNull(context.evidence.newestCertificate()) { failed("no primary") }
        if (current.primary == server) return PromotionPhase.Done(current.end.term, server).right()
        context.gate.hold(current.primary, HOLD_LIMIT)
        try {
            change(current, server).bind()
        } finally {
            context.gate.release()
        }
    }

    private suspend fun change(
        current: Certificate,
        server: BackendServerName
    ): Either<Refusal, PromotionPhase.Done> {
        notifier.hold(context.config.name, current.primary, HOLD_LIMIT)
        awaitCaughtUp(current.primary, server)
        context.log.record(
            "handover_start",
            "service" to context.config.name,
            "from" to current.primary,
            "to" to server
        )
        val group = groupWithout(current.primary, server)
        val end = Promotion(terms, group, context.log, knownTerm = current.end.term).run()
        context.prober.request()
        return when {
            end is PromotionPhase.Done && end.primary == server -> end.right()
            end is PromotionPhase.Done -> failed("${end.primary} leads: its log ends later").left()
            else -> failed("$end").left()
        }
    }

    /** Waits until nothing runs on [primary] any more and [server] holds all that did. */
    private suspend fun awaitCaughtUp(primary: BackendServerName, server: BackendServerName) {
        withTimeoutOrNull(CATCH_UP_LIMIT) {
            var quiet = 0
            while (quiet < QUIET_CHECKS) {
                quiet = if (isCaughtUp(primary, server)) quiet + 1 else 0
                delay(CATCH_UP_CHECK)
            }
        }
    }

    private suspend fun isCaughtUp(primary: BackendServerName, server: BackendServerName): Boolean =
        coroutineScope {
            val ahead = async { context.servers[primary]?.status()?.getOrNull() }
            val behind = async { context.servers[server]?.status()?.getOrNull() }
            isIdleAndCovered(ahead.await(), behind.await())
        }

    private fun isIdleAndCovered(ahead: ServerStatus?, behind: ServerStatus?) =
        ahead != null && behind != null && ahead.busySlots == 0 && behind.end >= ahead.end

    /**
     * The group without its old primary, whose log may end after entries that no majority holds;
     * the whole group when the others make no majority.
     */
    private fun groupWithout(
        primary: BackendServerName,
        preferred: BackendServerName
    ): PromotionGroup {
        val answering = context.evidence.observations()
            .filter { it.receivedAt.elapsedNow() < RECENT_ANSWER }
            .map { it.server }
        val others = context.servers - primary
        val isEnough = others.keys.count { it in answering } >= context.config.majority
        val servers = if (isEnough) others else context.servers
        return PromotionGroup(servers, context.config.majority, preferred)
    }

    private fun failed(detail: String) = Refusal(ResultCode.HANDOVER_FAILED, detail, RETRY_AFTER_MS)
}
