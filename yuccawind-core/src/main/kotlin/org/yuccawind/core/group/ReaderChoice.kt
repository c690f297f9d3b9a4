package org.yuccawind.core.group

import kotlin.time.Duration
import kotlinx.coroutines.launch
import org.yuccawind.core.load.Placement
import org.yuccawind.core.model.LogPoint

/** Chooses the servers of a group for reads. Confined to the event loop of its context. */
internal class ReaderChoice(
    private val group: ServerGroup,
    private val context: GroupContext,
    private val evidence: LeadershipEvidence
) {
    /**
     * Returns the servers for a read that requires [point], the preferred one first, servers with
     * failures last. Omits servers that are expected to lag behind the point and servers that are
     * shutting down, unless no other is left.
     *
     * Otherwise the reads of a service whose replicas lag by seconds would try every replica
     * without success, although only the primary can serve them.
     */
    fun readers(point: LogPoint): List<GroupServer> {
        val remaining = group.servers.filter { !it.member.isLeaving }.ifEmpty { group.servers }
        val (behind, ready) = remaining.partition { isBehind(it, point) }
        behind.forEach { it.needsPositionRefresh = true }
        val hasResponsive = ready.any { it.failingSince == null }
        val (responsive, failing) = (if (hasResponsive) ready else remaining)
            .partition { it.failingSince == null }
        return order(responsive) + order(failing)
    }

    private fun order(servers: List<GroupServer>): List<GroupServer> {
        val candidates = servers.mapNotNull { server ->
            val load = server.load ?: return@mapNotNull null
            Placement.Candidate(
                server,
                load,
                server.failedShare,
                ownDemand = server.inFlight + server.waiting,
                server.distance,
                server.linkWait
            )
        }
        if (candidates.size < servers.size) return servers.sortedBy { it.expectedTime() }
        return Placement.order(candidates, context.random)
    }

    private fun isBehind(server: GroupServer, point: LogPoint): Boolean {
        if (server === group.leader) return false
        val known = server.position
        if (known != null && known.position >= point.position) return false
        return evidence.evidenceStore.expectedCatchUp(server.name, point)
            ?.let { it > Duration.ZERO } == true
    }

    /**
     * Requests the log positions of servers that reads have skipped, which takes no statement slot.
     */
    fun refreshSkippedPositions() {
        for (server in group.servers.filter { it.needsPositionRefresh }) {
            server.needsPositionRefresh = false
            // Elsewhere it would need a new connection, so the estimated lag is used there.
            if (group.isHome &&
                server.inFlight == 0
            ) {
                context.scope.launch { server.refreshPosition() }
            }
        }
    }
}
