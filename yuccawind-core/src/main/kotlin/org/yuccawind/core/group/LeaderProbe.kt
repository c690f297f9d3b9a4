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

/** Greatest time for one server's answer: many round trips between zones. */
private val ANSWER_LIMIT = 300.milliseconds

/** Greatest wait for a connection, all of which open transactions may hold. */
private val LINK_PATIENCE = 600.milliseconds

/**
 * Finds out which server of a group leads, by opening a transaction that may write and rolling it
 * back in the same batch. It takes one round trip and no statement slot.
 */
internal class LeaderProbe(private val group: ServerGroup, private val context: GroupContext) {
    private var inProgress: Deferred<Boolean>? = null

    /** Asks, or shares the answer of a question begun before; true when a server leads. */
    suspend fun run(): Boolean = shared { search() }

    /** Asks only the server that leads as far as is known or registered. */
    suspend fun runOnKnown(): Boolean = shared { expected()?.let { ask(it) } ?: false }

    private suspend fun shared(question: suspend () -> Boolean): Boolean {
        val running = inProgress?.takeIf { it.isActive }
            ?: context.scope.async { question() }.also { inProgress = it }
        return running.await()
    }

    private suspend fun search(): Boolean {
        // At home connections to all servers are at hand; elsewhere each costs the server time.
        val first = if (group.isHome) group.leader else expected()
        val isTrusted = first != null && (!group.isHome || first.failingSince == null)
        if (first != null && isTrusted && ask(first)) return true
        return isAnyLeading(group.servers.filter { !isTrusted || it !== first })
    }

    private fun expected(): GroupServer? = group.leader
        ?: group.servers.firstOrNull { it.member.role == ServerRole.PRIMARY }

    /** Asks all [servers] at once and returns with the first proof. */
    private suspend fun isAnyLeading(servers: List<GroupServer>): Boolean {
        val answers = Channel<Boolean>(servers.size.coerceAtLeast(1))
        servers.forEach { context.scope.launch { answers.send(ask(it)) } }
        repeat(servers.size) { if (answers.receive()) return true }
        return false
    }

    private suspend fun ask(server: GroupServer): Boolean {
        val link = server.acquire(LINK_PATIENCE, LinkUrgency.PROBE)?.getOrNull() ?: return false
        try {
            return withTimeoutOrNull(ANSWER_LIMIT) { ask(server, link) } ?: run {
                server.noteFailure()
                link.close()
                false
            }
        } finally {
            server.release(link)
        }
    }

    private suspend fun ask(server: GroupServer, link: PooledLink): Boolean {
        val sentAt = context.time.markNow()
        val replies = server.exchange(link, listOf(LinkCommand.Begin(false), LinkCommand.Rollback))
            .getOrNull() ?: return false
        val begun = replies.first()
        val position = begun.position
        if (begun.isDone && position != null) {
            group.certify(server, position, sentAt)
            return true
        }
        if (begun.refusal?.code == StatementCode.READ_ONLY) group.noteNotLeading(server)
        return false
    }
}
