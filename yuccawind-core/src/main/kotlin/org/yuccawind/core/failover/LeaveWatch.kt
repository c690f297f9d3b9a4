package org.yuccawind.core.failover

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import org.yuccawind.core.membership.Rendezvous
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.service.NodeContext
import org.yuccawind.core.service.ServiceContext

private val CHECK_PERIOD = 100.milliseconds
private val TRANSACTION_WAIT = 2_000.milliseconds

/**
 * Hands a service over when the platform's list shows its primary as leaving.
 *
 * @property context the service
 * @property node what the instance knows of its surroundings
 * @property handover moves the primary
 * @property ownTransactions transactions that this instance holds open
 */
internal class LeaveWatch(
    private val context: ServiceContext,
    private val node: NodeContext,
    private val handover: Handover,
    private val ownTransactions: () -> Int
) {
    private var seenAt: ComparableTimeMark? = null

    /** Watches until cancelled. */
    suspend fun run() {
        while (true) {
            delay(CHECK_PERIOD)
            val primary = leavingPrimary()
            if (primary == null) seenAt = null else consider(primary)
        }
    }

    private fun leavingPrimary(): BackendServerName? =
        context.evidence.newestCertificate()?.primary?.takeIf(context.leaving::isConfirmed)

    private suspend fun consider(primary: BackendServerName) {
        val seen = seenAt ?: context.time.markNow().also { seenAt = it }
        if (seen.elapsedNow() < RANK_STAGGER * rank()) return
        if (hasTransactions() && seen.elapsedNow() < TRANSACTION_WAIT) return
        val target = target(primary) ?: return
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

    private fun hasTransactions() =
        ownTransactions() + node.surroundings.openTransactions(context.config.name) > 0

    /** The server that stays and whose log ends last, as far as it reported. */
    private fun target(primary: BackendServerName): BackendServerName? =
        context.evidence.observations()
            .filter { it.server != primary && !context.leaving.isLeaving(it.server) }
            .maxByOrNull { it.status.end }
            ?.server

    private fun rank() = Rendezvous.spreadRank(
        context.config.name.value,
        node.instance,
        node.surroundings.members()
    )
}
