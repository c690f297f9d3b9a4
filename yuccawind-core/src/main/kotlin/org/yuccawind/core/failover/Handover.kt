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

private val HOLD_DURATION = 800.milliseconds
private val CATCH_UP_TIMEOUT = 250.milliseconds
private val CATCH_UP_CHECK_PERIOD = 5.milliseconds
private const val REQUIRED_IDLE_CHECKS = 2
private val RECENT_ANSWER_AGE = 1_000.milliseconds
private const val RETRY_AFTER_MS = 1_000L

/**
 * Moves the primary role of one service from a healthy primary to another server.
 *
 * New writes are held meanwhile, also by the other instances if the request reaches them. Safety
 * does not depend on this but on terms and majorities: the preference for a server only decides
 * among servers that hold every acknowledged write.
 *
 * @property context the service
 * @property terms the term record of the service
 * @property notifier asks the other instances to hold new writes
 */
class Handover(
    private val context: ServiceContext,
    private val terms: TermRecords,
    private val notifier: HandoverNotifier
) {
    /** Makes [server] the primary, or returns a refusal with [ResultCode.HANDOVER_FAILED]. */
    suspend fun to(server: BackendServerName): Either<Refusal, PromotionPhase.Done> = either {
        ensure(server in context.servers) { failed("$server is not in the group") }
        val current = ensureNotNull(context.evidence.newestCertificate()) { failed("no primary") }
        if (current.primary == server) return PromotionPhase.Done(current.end.term, server).right()
        context.gate.hold(current.primary, HOLD_DURATION)
        try {
            promoteTarget(current, server).bind()
        } finally {
            context.gate.release()
        }
    }

    private suspend fun promoteTarget(
        current: Certificate,
        server: BackendServerName
    ): Either<Refusal, PromotionPhase.Done> {
        notifier.requestHold(context.config.name, current.primary, HOLD_DURATION)
        awaitCatchUp(current.primary, server)
        context.log.record(
            "handover_start",
            "service" to context.config.name,
            "from" to current.primary,
            "to" to server
        )
        val group = groupWithoutPrimary(current.primary, server)
        val outcome = Promotion(terms, group, context.log, knownTerm = current.end.term).run()
        context.prober.requestRound()
        return when {
            outcome is PromotionPhase.Done && outcome.primary == server -> outcome.right()

            outcome is PromotionPhase.Done ->
                failed("${outcome.primary} leads: its log ends later").left()

            else -> failed("$outcome").left()
        }
    }

    /**
     * Waits until [primary] is idle and [server] has caught up in two consecutive checks, or until
     * the timeout. On a timeout the promotion is attempted all the same.
     */
    private suspend fun awaitCatchUp(primary: BackendServerName, server: BackendServerName) {
        withTimeoutOrNull(CATCH_UP_TIMEOUT) {
            var idleChecks = 0
            while (idleChecks < REQUIRED_IDLE_CHECKS) {
                idleChecks = if (isCaughtUp(primary, server)) idleChecks + 1 else 0
                delay(CATCH_UP_CHECK_PERIOD)
            }
        }
    }

    private suspend fun isCaughtUp(primary: BackendServerName, server: BackendServerName): Boolean =
        coroutineScope {
            val primaryStatus = async { context.servers[primary]?.status()?.getOrNull() }
            val targetStatus = async { context.servers[server]?.status()?.getOrNull() }
            isIdleAndReplicated(primaryStatus.await(), targetStatus.await())
        }

    private fun isIdleAndReplicated(primaryStatus: ServerStatus?, targetStatus: ServerStatus?) =
        primaryStatus != null && targetStatus != null && primaryStatus.busySlots == 0 &&
            targetStatus.end >= primaryStatus.end

    /**
     * Returns the group without its old primary, because that server's log may end with entries
     * that no majority holds. Returns the whole group if the other servers form no majority.
     */
    private fun groupWithoutPrimary(
        primary: BackendServerName,
        preferred: BackendServerName
    ): PromotionGroup {
        val answering = context.evidence.observations()
            .filter { it.receivedAt.elapsedNow() < RECENT_ANSWER_AGE }
            .map { it.server }
        val others = context.servers - primary
        val isMajority = others.keys.count { it in answering } >= context.config.majority
        val servers = if (isMajority) others else context.servers
        return PromotionGroup(servers, context.config.majority, preferred)
    }

    private fun failed(detail: String) = Refusal(ResultCode.HANDOVER_FAILED, detail, RETRY_AFTER_MS)
}
