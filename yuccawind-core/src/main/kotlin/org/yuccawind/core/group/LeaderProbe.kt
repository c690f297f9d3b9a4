package org.yuccawind.core.group

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.link.LinkCommand
import org.yuccawind.core.link.LinkUrgency
import org.yuccawind.core.link.PooledLink
import org.yuccawind.core.model.ServerRole
import org.yuccawind.core.statement.StatementCode

/** Timeout of one server's answer: many round trips between zones. */
private val ANSWER_TIMEOUT = 300.milliseconds

/** Timeout for acquiring a link. All links may be held by open transactions. */
private val LINK_TIMEOUT = 600.milliseconds

/**
 * Finds the primary of a group by beginning a read-write transaction and rolling it back in the
 * same batch, which only a primary accepts. Takes one round trip and no statement slot.
 */
internal class LeaderProbe(private val group: ServerGroup, private val context: GroupContext) {
    private var inProgress: Deferred<Boolean>? = null

    /** Probes the group, or joins a probe in progress. Returns true if a primary was found. */
    suspend fun run(): Boolean = joinOrStart { probeGroup() }

    /** As [run], but probes only the known primary, or else the registered one. */
    suspend fun runOnExpected(): Boolean =
        joinOrStart { expectedLeader()?.let { probeServer(it) } ?: false }

    private suspend fun joinOrStart(probe: suspend () -> Boolean): Boolean {
        val running = inProgress?.takeIf { it.isActive }
            ?: context.scope.async { probe() }.also { inProgress = it }
        return running.await()
    }

    private suspend fun probeGroup(): Boolean {
        // Only home instances keep connections to all servers; elsewhere each probe opens one.
        val first = if (group.isHome) group.leader else expectedLeader()
        val isExpectedToAnswer = first != null && (!group.isHome || first.failingSince == null)
        if (first != null && isExpectedToAnswer && probeServer(first)) return true
        return probeAll(group.servers.filter { !isExpectedToAnswer || it !== first })
    }

    private fun expectedLeader(): GroupServer? = group.leader
        ?: group.servers.firstOrNull { it.member.role == ServerRole.PRIMARY }

    /** Probes all [servers] concurrently and returns true on the first proof. */
    private suspend fun probeAll(servers: List<GroupServer>): Boolean {
        val answers = Channel<Boolean>(servers.size.coerceAtLeast(1))
        servers.forEach { context.scope.launch { answers.send(probeServer(it)) } }
        repeat(servers.size) { if (answers.receive()) return true }
        return false
    }

    private suspend fun probeServer(server: GroupServer): Boolean {
        val link = server.acquire(LINK_TIMEOUT, LinkUrgency.PROBE)?.getOrNull() ?: return false
        try {
            return withTimeoutOrNull(ANSWER_TIMEOUT) { probeServer(server, link) } ?: run {
                server.recordFailure()
                link.close()
                false
            }
        } finally {
            server.release(link)
        }
    }

    private suspend fun probeServer(server: GroupServer, link: PooledLink): Boolean {
        val sentAt = context.time.markNow()
        val replies = server.exchange(link, listOf(LinkCommand.Begin(false), LinkCommand.Rollback))
            .getOrNull() ?: return false
        val beginReply = replies.first()
        val position = beginReply.position
        if (beginReply.isDone && position != null) {
            group.certify(server, position, sentAt)
            return true
        }
        if (beginReply.refusal?.code == StatementCode.READ_ONLY) group.recordNotLeading(server)
        return false
    }
}
