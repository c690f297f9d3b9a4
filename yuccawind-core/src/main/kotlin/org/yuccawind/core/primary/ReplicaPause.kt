package org.yuccawind.core.primary

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.yuccawind.core.group.GroupServer
import org.yuccawind.core.group.ServerGroup
import org.yuccawind.core.group.ServerReport
import org.yuccawind.core.group.pause
import org.yuccawind.core.group.report
import org.yuccawind.core.group.resume
import org.yuccawind.core.model.ServerRole
import org.yuccawind.core.port.DecisionLog
import org.yuccawind.core.route.GroupSettings

/** Timeout of a server's status report, which may wait for a statement slot. */
internal val REPORT_TIMEOUT = 400.milliseconds

/**
 * Pauses the replicas of a group with synchronous replication.
 *
 * While all of them are paused, no commit is acknowledged, and the longest log among them holds all
 * that were. A pause outlasts the instance that placed it, and is ended in one of two ways: by a
 * completed change of primary, which any home makes, or at once by the instance itself if no order
 * can have been sent since.
 */
internal class ReplicaPause(
    private val leaseHolder: PromotionLeaseHolder,
    private val log: DecisionLog
) {
    /** Returns true if a server of [group] that answers is paused. */
    suspend fun isAnyPaused(group: ServerGroup): Boolean =
        reportsOf(group.servers) { it.report(REPORT_TIMEOUT) }.values.any { it.isPaused }

    /**
     * Pauses all servers of [group] but the primary under [lease] and returns their status. Returns
     * null if more of them than a commit has copies do not answer, as these may hold commits that
     * the others lack. Those paused here are then resumed, unless [isOrderOutstanding] or some were
     * paused before: then an order may be carried out at any time, which would roll back the
     * commits acknowledged until then.
     */
    suspend fun pauseAll(
        group: ServerGroup,
        lease: PromotionLease,
        isOrderOutstanding: Boolean
    ): Map<GroupServer, ServerReport>? {
        val before = reportsOf(group.servers) { it.report(REPORT_TIMEOUT) }
        val primary = primaryOf(before)
        val replicas = before.keys.filter { it !== primary }
        val isComplete = missing(group, replicas) <= tolerated(group, primary)
        if (replicas.isEmpty() || !isComplete) return refuse(group, replicas)
        // Above every known term, or it has no effect. Not higher, so that a request that arrives
        // after the next primary has been promoted has none either.
        val term = before.values.maxOf { maxOf(it.term, it.received.term) } + 1
        val paused = reportsOf(replicas) { it.pause(term, REPORT_TIMEOUT) }
            .filterValues { it.isPaused && it.role == ServerRole.REPLICA }
        if (paused.size == replicas.size) return paused
        val wasPaused = before.values.any { it.isPaused }
        if (!isOrderOutstanding && !wasPaused) resume(group, lease)
        return refuse(group, paused.keys)
    }

    private fun primaryOf(reports: Map<GroupServer, ServerReport>): GroupServer? =
        reports.entries.filter { it.value.role == ServerRole.PRIMARY }
            .maxByOrNull { it.value.term }?.key

    /** Returns the number of servers not among [replicas], including a primary that has left. */
    private fun missing(group: ServerGroup, replicas: Collection<GroupServer>): Int {
        val leader = group.lastLeader
        val hasLeft = leader != null && leader !in group.servers
        return group.servers.size - replicas.size + if (hasLeft) 1 else 0
    }

    /**
     * Returns the number of servers that may be missing. A commit is acknowledged once its primary
     * and [GroupSettings.syncReplicas] replicas hold it, so one of the others has it. While the
     * primary is unknown it may have left with the only other copy of a commit.
     */
    private fun tolerated(group: ServerGroup, primary: GroupServer?): Int =
        if (primary == null && group.lastLeader == null) {
            0
        } else {
            group.settings.syncReplicas.coerceAtLeast(1)
        }

    /**
     * Resumes the paused servers of [group] if this instance still holds [lease]. Otherwise another
     * instance may have paused them for a change of its own.
     */
    suspend fun resume(group: ServerGroup, lease: PromotionLease) {
        val isHeld = leaseHolder.extend(lease)
        val paused = reportsOf(group.servers) { it.report(REPORT_TIMEOUT) }
            .filterValues { it.isPaused }.keys
        val resumed = if (isHeld) reportsOf(paused) { it.resume(REPORT_TIMEOUT) } else emptyMap()
        log.record(
            "replicas_resumed",
            "service" to group.service,
            "paused" to paused.joinToString(";") { it.name.value },
            "resumed" to resumed.size,
            "lease_held" to isHeld
        )
    }

    private fun refuse(
        group: ServerGroup,
        paused: Collection<GroupServer>
    ): Map<GroupServer, ServerReport>? {
        log.record(
            "successor_refused",
            "service" to group.service,
            "reason" to "servers that may hold commits did not answer or were not paused",
            "answered" to paused.joinToString(";") { it.name.value },
            "servers" to group.servers.joinToString(";") { it.name.value }
        )
        return null
    }
}

/** Sends [request] to all [servers] and returns the reports of those that answer. */
internal suspend fun reportsOf(
    servers: Collection<GroupServer>,
    request: suspend (GroupServer) -> ServerReport?
): Map<GroupServer, ServerReport> = coroutineScope {
    servers.map { async { request(it)?.let { report -> it to report } } }
        .awaitAll().filterNotNull().toMap()
}
