package org.yuccawind.core.client

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import org.yuccawind.core.group.GroupServer
import org.yuccawind.core.group.ServerGroup
import org.yuccawind.core.link.LinkCommand
import org.yuccawind.core.link.LinkUrgency
import org.yuccawind.core.link.PooledLink
import org.yuccawind.core.route.Freshness
import org.yuccawind.core.route.Route
import org.yuccawind.core.statement.SessionState
import org.yuccawind.core.statement.StatementCode
import org.yuccawind.core.workspace.Caller

/** Delay between attempts while no suitable server accepts the transaction. */
private val BUSY_RETRY_DELAY = 20.milliseconds

/**
 * Opens a transaction on a suitable server, before any statement of the client is sent. Attempts
 * are repeated until the deadline; the functions return null when none succeeds in time.
 */
internal class TransactionOpener(
    private val context: SessionContext,
    private val group: ServerGroup,
    private val sessionState: ClientSessionState,
    private val route: Route,
    caller: Caller,
    private val deadline: ComparableTimeMark,
    private val trace: StatementTrace
) {
    private val arrivedAt = context.time.markNow()
    private val urgency = route.urgency(arrivedAt, caller)

    /** Opens a read-write transaction on the primary. */
    suspend fun openOnPrimary(): LinkLease? {
        while (remaining() > Duration.ZERO) {
            val server = group.awaitLeader(remaining()) ?: return null
            val lease = open(server) { listOf(LinkCommand.Begin(isReadOnly = false)) }
            if (lease != null && isUpToDate(lease)) return lease
            lease?.let { discard(it) }
            delay(BUSY_RETRY_DELAY)
        }
        return null
    }

    /**
     * Opens a read-only transaction on a server whose log includes the log point that the route's
     * freshness requires.
     */
    suspend fun openOnReader(): LinkLease? {
        if (route.freshness == Freshness.Latest) return openOnPrimary()
        while (remaining() > Duration.ZERO) {
            val required = ReadRequirements.find(
                group,
                route,
                sessionState,
                arrivedAt,
                remaining()
            ) ?: return null
            trace.requiredPoint = required.point
            for (server in group.readers(required.point)) {
                val lease = open(server) { listOf(LinkCommand.Begin(true, required.point)) }
                    ?: continue
                // A server that missed a change of primary may hold different entries at this
                // position.
                if (required.isCoveredBy(lease.link.term)) return lease
                discard(lease)
            }
            delay(BUSY_RETRY_DELAY)
        }
        return null
    }

    private fun remaining() = -deadline.elapsedNow()

    /**
     * Returns true when the primary has applied all entries that it received before its promotion.
     * Until then its own reads would miss acknowledged writes.
     */
    private fun isUpToDate(lease: LinkLease) =
        lease.link.position?.let { group.isCurrent(lease.server, it) } == true

    private suspend fun open(server: GroupServer, begin: () -> List<LinkCommand>): LinkLease? {
        trace.server = server.name
        trace.attempts++
        val startedAt = context.time.markNow()
        val link = server.acquire(minOf(ACQUIRE_TIMEOUT, remaining()), urgency)?.getOrNull()
        trace.linkWait += startedAt.elapsedNow()
        if (link == null) return null
        val sentAt = context.time.markNow()
        val commands = link.commandsToApply(sessionState.variables) + begin()
        val result = server.call(link, commands, minOf(BEGIN_TIMEOUT, remaining()))
        val reply = (result as? CallResult.Answered)?.last
        if (reply == null || reply.state != SessionState.IN_TRANSACTION) {
            if (reply?.refusal?.code == StatementCode.READ_ONLY) group.recordNotLeading(server)
            server.release(link)
            return null
        }
        val position = reply.position
        val command = commands.last() as? LinkCommand.Begin
        if (command?.isReadOnly == false && position != null) {
            group.certify(server, position, sentAt)
        }
        return LinkLease(server, link)
    }

    private suspend fun discard(lease: LinkLease) {
        lease.server.call(lease.link, listOf(LinkCommand.Rollback), ROLLBACK_TIMEOUT)
        lease.server.release(lease.link)
    }

    private companion object {
        /** Maximum wait for a connection to one server. */
        val ACQUIRE_TIMEOUT = 200.milliseconds

        /** Time limit for `BEGIN`, which occupies no statement slot on the server. */
        val BEGIN_TIMEOUT = 300.milliseconds
    }
}
