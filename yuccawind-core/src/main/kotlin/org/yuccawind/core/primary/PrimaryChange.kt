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

/** Timeout of a server's status report, which may wait for a statement slot. */
private val REPORT_TIMEOUT = 400.milliseconds

/** Time for the successor to receive everything that the stepped-down primary has written. */
private val CATCH_UP_TIMEOUT = 800.milliseconds

/** Interval between status requests to a server that is catching up. */
private val CATCH_UP_POLL_INTERVAL = 15.milliseconds

/** Delay before an unanswered promotion order is retried. */
private val ORDER_RETRY_DELAY = 100.milliseconds

/** Time for a promoted server to become primary: twice what the platform usually takes. */
private val TAKEOVER_TIMEOUT = 1_500.milliseconds

/** Interval between probes for the new primary. */
private val PROBE_INTERVAL = 30.milliseconds

/** Added to the newest known term when pausing replicas, to cover changes not seen here yet. */
private const val PAUSE_TERM_MARGIN = 100L

/** Carries out changes of primary by ordering promotions from the platform. */
class PrimaryChange(
    private val leaseHolder: PromotionLeaseHolder,
    private val orders: PrimaryOrders,
    private val log: DecisionLog
) {
    /** Replaces a failed primary. Returns true once the successor is the primary. */
    suspend fun replace(group: ServerGroup): Boolean {
        val lease = leaseHolder.acquire() ?: return false
        if (group.settings.syncReplicas > 0) return replaceWithoutLoss(group, lease)
        val successor = chooseSuccessor(group, reportsOf(group.servers)) ?: return false
        return promote(group, successor, lease)
    }

    /**
     * Replaces the primary of a group with synchronous replication. Each acknowledged commit is on
     * some replica, but it is not known on which. So all replicas are paused, which stops further
     * acknowledgements, and the one with the longest log is promoted.
     */
    private suspend fun replaceWithoutLoss(group: ServerGroup, lease: PromotionLease): Boolean {
        val replicas = group.servers.filter { it !== group.lastLeader }
        val term = (group.newestEvidence?.end?.term ?: 0) + PAUSE_TERM_MARGIN
        val reports = reportsOf(replicas) { it.pause(term, REPORT_TIMEOUT) }
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
            val successor = longestLog(reports)
            logSuccessor(group, successor, reports)
            return successor != null && promote(group, successor, lease)
        } finally {
            reports.keys.forEach { it.resume(REPORT_TIMEOUT) }
        }
    }

    /**
     * Completes a change that was begun and left unfinished, with replicas paused. Returns true if
     * no replica is paused any longer.
     *
     * The change is completed and not undone: the instance that began it may have ordered a
     * promotion that is still carried out, which would roll back commits acknowledged until then.
     */
    suspend fun finish(group: ServerGroup): Boolean {
        if (!hasPausedReplicas(group)) return true
        val lease = leaseHolder.acquire() ?: return false
        // The holder before may have completed it.
        return !hasPausedReplicas(group) || replaceWithoutLoss(group, lease)
    }

    private suspend fun hasPausedReplicas(group: ServerGroup) =
        reportsOf(group.servers).values.any { it.isPaused }

    /** Hands over from a working primary without losing a commit. */
    suspend fun handOver(group: ServerGroup): Boolean {
        val primary = group.leader ?: return false
        val lease = leaseHolder.acquire() ?: return false
        val successor = caughtUpSuccessor(group, primary) ?: return false
        val end = stepDown(group, primary)
        if (end != null) awaitReceived(group, successor, end)
        return promote(group, successor, lease)
    }

    /**
     * Returns a successor that has caught up with [primary], or null. A server that does not
     * receive the primary's log would lack the newest writes after its promotion.
     */
    private suspend fun caughtUpSuccessor(group: ServerGroup, primary: GroupServer): GroupServer? {
        val others = group.servers.filter { it !== primary }
        val successor = chooseSuccessor(group, reportsOf(others)) ?: return null
        val end = primary.report(REPORT_TIMEOUT)?.received ?: return null
        return successor.takeIf { awaitReceived(group, it, end) }
    }

    private suspend fun stepDown(group: ServerGroup, primary: GroupServer): LogPoint? {
        val term = (group.newestEvidence?.end?.term ?: return null) + 1
        val report = primary.stepDown(term, REPORT_TIMEOUT)
        log.record(
            "primary_stepped_down",
            "service" to group.service,
            "server" to primary.name,
            "term" to term,
            "received" to report?.received
        )
        group.recordNotLeading(primary)
        return report?.received
    }

    private suspend fun awaitReceived(
        group: ServerGroup,
        server: GroupServer,
        end: LogPoint
    ): Boolean {
        val isReached = withTimeoutOrNull(CATCH_UP_TIMEOUT) {
            while (true) {
                val received = server.report(REPORT_TIMEOUT)?.received
                if (received != null && received >= end) break
                delay(CATCH_UP_POLL_INTERVAL)
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
        reportsOf(servers) { it.report(REPORT_TIMEOUT) }

    private suspend fun reportsOf(
        servers: Collection<GroupServer>,
        request: suspend (GroupServer) -> ServerReport?
    ): Map<GroupServer, ServerReport> = coroutineScope {
        servers.map { it to async { request(it) } }
            .mapNotNull { (server, report) -> report.await()?.let { server to it } }
            .toMap()
    }

    /** Returns the server with the longest log, preferring servers that are not shutting down. */
    private fun chooseSuccessor(
        group: ServerGroup,
        reports: Map<GroupServer, ServerReport>
    ): GroupServer? {
        val remaining = reports.filterKeys { !it.member.isLeaving }.ifEmpty { reports }
        val successor = remaining.entries
            .maxWithOrNull(compareBy({ it.value.received }, { it.key.position }))?.key
        logSuccessor(group, successor, reports)
        return successor
    }

    /**
     * Returns the server with the longest log, even if it is shutting down: another one may lack
     * acknowledged commits. Only among equal logs, a server that stays is preferred.
     */
    private fun longestLog(reports: Map<GroupServer, ServerReport>): GroupServer? =
        reports.entries.maxWithOrNull(
            compareBy({ it.value.received }, { !it.key.member.isLeaving }, { it.key.name.value })
        )?.key

    private fun logSuccessor(
        group: ServerGroup,
        successor: GroupServer?,
        reports: Map<GroupServer, ServerReport>
    ) = log.record(
        "successor_chosen",
        "service" to group.service,
        "server" to successor?.name,
        "reports" to reports.entries.joinToString(";") { "${it.key.name}=${it.value.received}" },
        "sync_replicas" to group.settings.syncReplicas
    )

    private suspend fun promote(
        group: ServerGroup,
        successor: GroupServer,
        lease: PromotionLease
    ): Boolean {
        val isPromoted = order(group, successor.name, lease)
        if (!isPromoted) leaseHolder.raiseToken(lease)
        return isPromoted
    }

    private suspend fun order(
        group: ServerGroup,
        name: BackendServerName,
        lease: PromotionLease
    ): Boolean {
        while (leaseHolder.isValid(lease)) {
            val outcome = orders.promote(group.service, name, lease.token)
            log.record(
                "promotion_ordered",
                "service" to group.service,
                "server" to name,
                "token" to lease.token,
                "outcome" to outcome
            )
            when (outcome) {
                OrderOutcome.Accepted -> return awaitLeadership(group, name)

                is OrderOutcome.Refused -> {
                    leaseHolder.discard(lease)
                    return false
                }

                is OrderOutcome.NoAnswer, is OrderOutcome.Unavailable -> delay(ORDER_RETRY_DELAY)
            }
        }
        return false
    }

    private suspend fun awaitLeadership(group: ServerGroup, name: BackendServerName): Boolean {
        val limit: Duration = TAKEOVER_TIMEOUT
        return withTimeoutOrNull(limit) {
            while (group.leader?.name != name || !group.probeLeader()) delay(PROBE_INTERVAL)
            true
        } ?: false
    }
}
