package org.yuccawind.core.primary

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.group.GroupServer
import org.yuccawind.core.group.ServerGroup
import org.yuccawind.core.group.ServerReport
import org.yuccawind.core.group.report
import org.yuccawind.core.group.stepDown
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.port.DecisionLog

/** Time for the successor to receive everything that the stepped-down primary has written. */
private val CATCH_UP_TIMEOUT = 800.milliseconds

/** Interval between status requests to a server that is catching up. */
private val CATCH_UP_POLL_INTERVAL = 15.milliseconds

/** Carries out changes of primary by ordering promotions from the platform. */
class PrimaryChange(
    private val leaseHolder: PromotionLeaseHolder,
    orders: PrimaryOrders,
    private val log: DecisionLog
) {
    private val sender = PromotionSender(leaseHolder, orders, log)
    private val pause = ReplicaPause(leaseHolder, log)

    /** Replaces a failed primary. Returns true once the successor is the primary. */
    suspend fun replace(group: ServerGroup): Boolean {
        val lease = leaseHolder.acquire() ?: return false
        if (group.settings.syncReplicas > 0) return replaceWithoutLoss(group, lease)
        val successor = chooseSuccessor(group, reportsOf(group.servers)) ?: return false
        return sender.promote(group, successor, lease)
    }

    /**
     * Replaces the primary of a group with synchronous replication. Each acknowledged commit is on
     * some replica, but it is not known on which. So all replicas are paused, which stops further
     * acknowledgements, and the one with the longest log is promoted.
     *
     * Once an order has been sent, the replicas stay paused until a promotion has taken effect. An
     * order without an answer may be carried out seconds later; nothing is lost by it while nothing
     * is acknowledged, and a later order with a higher token makes it void.
     */
    private suspend fun replaceWithoutLoss(group: ServerGroup, lease: PromotionLease): Boolean {
        val outstanding = sender.unansweredOrder(group.service)
        val reports = pause.pauseAll(group, lease, outstanding != null) ?: return false
        val successor = longestLog(group, reports, outstanding)
        logSuccessor(group, successor, reports)
        if (successor == null || !sender.promote(group, successor, lease)) return false
        pause.resume(group, lease)
        return true
    }

    /**
     * Completes a change that was begun and left unfinished, with replicas paused. Returns true if
     * no replica is paused any longer.
     *
     * The change is completed and not undone: the instance that began it may have ordered a
     * promotion that is still carried out, which would roll back commits acknowledged until then.
     */
    suspend fun finish(group: ServerGroup): Boolean {
        if (!pause.isAnyPaused(group)) return true
        val lease = leaseHolder.acquire() ?: return false
        // The holder before may have completed it.
        return !pause.isAnyPaused(group) || replaceWithoutLoss(group, lease)
    }

    /** Hands over from a working primary without losing a commit. */
    suspend fun handOver(group: ServerGroup): Boolean {
        val primary = group.leader ?: return false
        val lease = leaseHolder.acquire() ?: return false
        val hasSyncReplicas = group.settings.syncReplicas > 0
        val isFenced = !hasSyncReplicas || fence(group, primary, lease)
        val report = if (isFenced) primary.report(REPORT_TIMEOUT) else null
        val successor = report?.let { caughtUpSuccessor(group, primary, it.received) }
            ?: return false
        val end = stepDown(group, primary, report.term + 1)
        if (end != null) awaitReceived(group, successor, end)
        // Without an answer the primary may still lead and acknowledge commits.
        return if (hasSyncReplicas) {
            replaceWithoutLoss(group, lease)
        } else {
            sender.promote(group, successor, lease)
        }
    }

    /**
     * Makes earlier orders void and keeps [lease]. Otherwise an earlier order for [primary] would
     * make it the primary again after it has stepped down.
     */
    private suspend fun fence(group: ServerGroup, primary: GroupServer, lease: PromotionLease) =
        sender.fence(group, primary, lease) && leaseHolder.extend(lease)

    /**
     * Returns a successor that has received the log of [primary] up to [end], or null. A server
     * that does not receive it would lack the newest writes after its promotion.
     */
    private suspend fun caughtUpSuccessor(
        group: ServerGroup,
        primary: GroupServer,
        end: LogPoint
    ): GroupServer? {
        val others = group.servers.filter { it !== primary }
        val successor = chooseSuccessor(group, reportsOf(others)) ?: return null
        return successor.takeIf { awaitReceived(group, it, end) }
    }

    /**
     * Makes [primary] a replica with [term], which must be above its own. Returns the end of its
     * log, or null if it does not answer.
     */
    private suspend fun stepDown(group: ServerGroup, primary: GroupServer, term: Long): LogPoint? {
        val report = primary.stepDown(term, REPORT_TIMEOUT)
        log.record(
            "primary_stepped_down",
            "service" to group.service,
            "server" to primary.name,
            "term" to term,
            "role" to report?.role,
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
     * acknowledged commits. Among equal logs the one whose promotion is [outstanding] comes first,
     * so that no second server is promoted after it, then one that stays, then one that has not
     * just stepped down. Other instances make the same choice, as they may repeat the order.
     */
    private fun longestLog(
        group: ServerGroup,
        reports: Map<GroupServer, ServerReport>,
        outstanding: BackendServerName?
    ): GroupServer? = reports.entries.maxWithOrNull(
        compareBy(
            { it.value.received },
            { it.key.name == outstanding },
            { !it.key.member.isLeaving },
            { it.key !== group.lastLeader },
            { it.key.name.value }
        )
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
}
