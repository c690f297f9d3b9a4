package org.yuccawind.core.primary

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.group.GroupServer
import org.yuccawind.core.group.ServerGroup
import org.yuccawind.core.group.ServerReport
import org.yuccawind.core.group.pause
import org.yuccawind.core.group.report
import org.yuccawind.core.group.resume
import org.yuccawind.core.group.stepDown
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.port.DecisionLog

/** Time for a server to say how it stands; it may wait for a statement slot. */
private val REPORT_LIMIT = 400.milliseconds

/** Time for the chosen server to receive all that a primary which stepped down has written. */
private val CATCH_UP_LIMIT = 800.milliseconds

/** Pause between two looks at a server that catches up. */
private val CATCH_UP_PAUSE = 15.milliseconds

/** Pause before an order that got no answer is sent again. */
private val ORDER_PAUSE = 100.milliseconds

/** Time for a promoted server to lead: twice what the platform usually takes. */
private val TAKE_OVER_LIMIT = 1_500.milliseconds

/** Pause between two searches for the new primary. */
private val SEARCH_PAUSE = 30.milliseconds

/** Terms above the newest known one that a pause names: changes not seen yet may lie between. */
private const val PAUSE_TERMS = 100L

/** Carries a change of primary out, by an order to the platform. */
class PrimaryChange(
    private val duty: PromotionDuty,
    private val orders: PrimaryOrders,
    private val log: DecisionLog
) {
    /** Replaces a primary that does not work; true when another server leads. */
    suspend fun replace(group: ServerGroup): Boolean {
        val claim = duty.ensure() ?: return false
        if (group.settings.syncReplicas > 0) return replaceKeepingAll(group, claim)
        val choice = choose(group, reportsOf(group.servers)) ?: return false
        return promote(group, choice, claim)
    }

    /**
     * Each acknowledged commit is on some replica, not on a known one. So all of them stop
     * receiving, that no further commit is acknowledged, and the longest log is taken.
     */
    private suspend fun replaceKeepingAll(group: ServerGroup, claim: DutyClaim): Boolean {
        val replicas = group.servers.filter { it !== group.lastLeader }
        val term = (group.newestEvidence?.end?.term ?: 0) + PAUSE_TERMS
        val reports = reportsOf(replicas) { it.pause(term, REPORT_LIMIT) }
        try {
            if (reports.size < replicas.size) {
                log.record(
                    "successor_refused",
                    "service" to group.service,
                    "reason" to "a replica that may hold commits did not answer",
                    "answered" to reports.size,
                    "replicas" to replicas.size
                )
                return false
            }
            val choice = choose(group, reports) ?: return false
            return promote(group, choice, claim)
        } finally {
            reports.keys.forEach { it.resume(REPORT_LIMIT) }
        }
    }

    /** Replaces a primary that works and leaves, without losing a commit. */
    suspend fun handOver(group: ServerGroup): Boolean {
        val primary = group.leader ?: return false
        val claim = duty.ensure() ?: return false
        val choice = successorOf(group, primary) ?: return false
        val end = stepDown(group, primary)
        if (end != null) awaitReceived(group, choice, end)
        return promote(group, choice, claim)
    }

    /** A server that receives what [primary] writes: another would lead without the newest. */
    private suspend fun successorOf(group: ServerGroup, primary: GroupServer): GroupServer? {
        val others = group.servers.filter { it !== primary }
        val choice = choose(group, reportsOf(others)) ?: return null
        val end = primary.report(REPORT_LIMIT)?.received ?: return null
        return choice.takeIf { awaitReceived(group, it, end) }
    }

    private suspend fun stepDown(group: ServerGroup, primary: GroupServer): LogPoint? {
        val term = (group.newestEvidence?.end?.term ?: return null) + 1
        val report = primary.stepDown(term, REPORT_LIMIT)
        log.record(
            "primary_stepped_down",
            "service" to group.service,
            "server" to primary.name,
            "term" to term,
            "received" to report?.received
        )
        group.noteNotLeading(primary)
        return report?.received
    }

    private suspend fun awaitReceived(
        group: ServerGroup,
        server: GroupServer,
        end: LogPoint
    ): Boolean {
        val isReached = withTimeoutOrNull(CATCH_UP_LIMIT) {
            while (true) {
                val received = server.report(REPORT_LIMIT)?.received
                if (received != null && received >= end) break
                delay(CATCH_UP_PAUSE)
            }
        } != null
        log.record(
            "successor_caught_up",
            "service" to group.service,
            "server" to server.name,
            "position" to end,
            "reached" to isReached
        )
        return isReached
    }

    private suspend fun reportsOf(servers: Collection<GroupServer>) =
        reportsOf(servers) { it.report(REPORT_LIMIT) }

    private suspend fun reportsOf(
        servers: Collection<GroupServer>,
        ask: suspend (GroupServer) -> ServerReport?
    ): Map<GroupServer, ServerReport> = coroutineScope {
        servers.map { it to async { ask(it) } }
            .mapNotNull { (server, report) -> report.await()?.let { server to it } }
            .toMap()
    }

    /** The server whose log reaches furthest, of those that stay if any does. */
    private fun choose(group: ServerGroup, reports: Map<GroupServer, ServerReport>): GroupServer? {
        val staying = reports.filterKeys { !it.member.isLeaving }.ifEmpty { reports }
        val choice = staying.entries
            .maxWithOrNull(compareBy({ it.value.received }, { it.key.position }))?.key
        log.record(
            "successor_chosen",
            "service" to group.service,
            "server" to choice?.name,
            "reports" to reports.entries.joinToString(";") {
                "${it.key.name}=${it.value.received}"
            },
            "sync_replicas" to group.settings.syncReplicas
        )
        return choice
    }

    private suspend fun promote(
        group: ServerGroup,
        choice: GroupServer,
        claim: DutyClaim
    ): Boolean {
        val isDone = order(group, choice.name, claim)
        if (!isDone) duty.renumber(claim)
        return isDone
    }

    private suspend fun order(
        group: ServerGroup,
        name: BackendServerName,
        claim: DutyClaim
    ): Boolean {
        while (duty.isValid(claim)) {
            val outcome = orders.promote(group.service, name, claim.token)
            log.record(
                "promotion_ordered",
                "service" to group.service,
                "server" to name,
                "token" to claim.token,
                "outcome" to outcome
            )
            when (outcome) {
                OrderOutcome.Accepted -> return awaitLead(group, name)

                is OrderOutcome.Refused -> {
                    duty.drop(claim)
                    return false
                }

                is OrderOutcome.NoAnswer, is OrderOutcome.Unavailable -> delay(ORDER_PAUSE)
            }
        }
        return false
    }

    private suspend fun awaitLead(group: ServerGroup, name: BackendServerName): Boolean {
        val limit: Duration = TAKE_OVER_LIMIT
        return withTimeoutOrNull(limit) {
            while (group.leader?.name != name || !group.probeLeader()) delay(SEARCH_PAUSE)
            true
        } ?: false
    }
}
