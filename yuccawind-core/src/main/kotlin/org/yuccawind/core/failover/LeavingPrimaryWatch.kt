package org.yuccawind.core.failover

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import org.yuccawind.core.membership.Rendezvous
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.service.NodeContext
import org.yuccawind.core.service.ServiceContext

private val CHECK_PERIOD = 100.milliseconds
private val TRANSACTION_TIMEOUT = 2_000.milliseconds

/**
 * Starts a hand-over when the platform's instance list shows the primary of a service as leaving.
 *
 * @property context the service
 * @property node state and settings shared by all services of the instance
 * @property handover performs the hand-over
 * @property ownTransactions returns the number of open transactions of this instance
 */
internal class LeavingPrimaryWatch(
    private val context: ServiceContext,
    private val node: NodeContext,
    private val handover: Handover,
    private val ownTransactions: () -> Int
) {
    private var firstSeenAt: ComparableTimeMark? = null

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            delay(CHECK_PERIOD)
            val primary = leavingPrimary()
            if (primary == null) firstSeenAt = null else handOverIfDue(primary)
        }
    }

    private fun leavingPrimary(): BackendServerName? =
        context.evidence.newestCertificate()?.primary?.takeIf(context.leaving::isConfirmed)

    private suspend fun handOverIfDue(primary: BackendServerName) {
        val firstSeen = firstSeenAt ?: context.time.markNow().also { firstSeenAt = it }
        if (firstSeen.elapsedNow() < RANK_STAGGER * rank()) return
        if (hasOpenTransactions() && firstSeen.elapsedNow() < TRANSACTION_TIMEOUT) return
        val target = chooseTarget(primary) ?: return
        val result = handover.to(target)
        context.log.record(
            "leaving_handover",
            "service" to context.config.name,
            "from" to primary,
            "to" to target,
            "result" to result.fold({ it.detail }, { "done" })
        )
        delay(RANK_STAGGER * (1 + rank()))
    }

    private fun hasOpenTransactions() =
        ownTransactions() + node.clusterView.openTransactions(context.config.name) > 0

    /** Returns the server with the greatest reported log end among those that are not leaving. */
    private fun chooseTarget(primary: BackendServerName): BackendServerName? =
        context.evidence.observations()
            .filter { it.server != primary && !context.leaving.isLeaving(it.server) }
            .maxByOrNull { it.status.end }
            ?.server

    private fun rank() = Rendezvous.zoneBalancedRank(
        context.config.name.value,
        node.instance,
        node.clusterView.members()
    )
}
