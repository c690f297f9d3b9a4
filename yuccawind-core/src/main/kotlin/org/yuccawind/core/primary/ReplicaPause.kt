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
     * Pauses all replicas of [group] under [lease] and returns their status. [replaced] is the
     * server whose commits all have a copy on one of them. Returns null if a replica does not
     * answer, as it may hold commits that the others lack. Those paused here are then resumed,
     * unless [isOrderOutstanding] or some were paused before: then an order may be carried out at
     * any time, which would roll back the commits acknowledged until then.
     */
    suspend fun pauseAll(
        group: ServerGroup,
        lease: PromotionLease,
        replaced: GroupServer?,
        isOrderOutstanding: Boolean
    ): Map<GroupServer, ServerReport>? {
        val before = reportsOf(group.servers) { it.report(REPORT_TIMEOUT) }
        val primary = replaced ?: primaryOf(group, before)
        val replicas = group.servers.filter { it !== primary }
        val answered = replicas.filter { it in before }
        if (answered.size < replicas.size) return refuse(group, replicas, answered)
        // Above every known term, or it has no effect. Not higher, so that a PAUSE that arrives
        // after the next primary has been promoted has none either.
        val term = before.values.maxOf { maxOf(it.term, it.received.term) } + 1
        val paused = reportsOf(replicas) { it.pause(term, REPORT_TIMEOUT) }
            .filterValues { it.isPaused && it.role == ServerRole.REPLICA }
        if (paused.size == replicas.size) return paused
        val wasPaused = replicas.any { before.getValue(it).isPaused }
        if (!isOrderOutstanding && !wasPaused) resume(group, lease)
        return refuse(group, replicas, paused.keys)
    }

    /**
     * Returns the server that says it is the primary, or else the last known one if it does not
     * answer. If that one answers as a replica, its log counts as well.
     */
    private fun primaryOf(group: ServerGroup, reports: Map<GroupServer, ServerReport>) =
        reports.entries.filter { it.value.role == ServerRole.PRIMARY }
            .maxByOrNull { it.value.term }?.key
            ?: group.lastLeader.takeIf { it !in reports }

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
        replicas: List<GroupServer>,
        answered: Collection<GroupServer>
    ): Map<GroupServer, ServerReport>? {
        log.record(
            "successor_refused",
            "service" to group.service,
            "reason" to "a replica that may hold commits did not answer or was not paused",
            "answered" to answered.joinToString(";") { it.name.value },
            "replicas" to replicas.joinToString(";") { it.name.value }
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
