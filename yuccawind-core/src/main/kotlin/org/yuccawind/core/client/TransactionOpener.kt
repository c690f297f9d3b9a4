package org.yuccawind.core.client

import arrow.core.raise.Raise
import arrow.core.raise.either
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import org.yuccawind.core.admission.Admission
import org.yuccawind.core.admission.ServerAdmission
import org.yuccawind.core.admission.StatementDemand
import org.yuccawind.core.group.GroupServer
import org.yuccawind.core.group.ServerGroup
import org.yuccawind.core.link.LinkCommand
import org.yuccawind.core.link.PooledLink
import org.yuccawind.core.route.Freshness
import org.yuccawind.core.route.Route
import org.yuccawind.core.statement.SessionState
import org.yuccawind.core.statement.StatementCode
import org.yuccawind.core.workspace.Caller

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
    deadline: ComparableTimeMark,
    private val trace: StatementTrace
) {
    private val demand = StatementDemand(
        arrivedAt = context.time.markNow(),
        deadline = deadline,
        targetLatency = route.targetLatency,
        priority = route.priority
    )
    private val urgency = route.urgency(demand.arrivedAt, caller)
    private val pause = RepeatPause(group.repeats, demand)

    /** Opens a read-write transaction on the primary. */
    suspend fun openOnPrimary(): LinkLease? = openOrRefuse { findPrimary() }

    /**
     * Opens a read-only transaction on a server whose log includes the log point that the route's
     * freshness requires.
     */
    suspend fun openOnReader(): LinkLease? =
        if (route.freshness == Freshness.Latest) openOnPrimary() else openOrRefuse { findReader() }

    /** Calls [open] until it returns a lease or the transaction is refused. */
    private suspend fun openOrRefuse(
        open: suspend Raise<Admission.Refuse>.() -> LinkLease?
    ): LinkLease? = either {
        var lease = open()
        while (lease == null) {
            pause.await().bind()
            lease = open()
        }
        lease
    }.onLeft { trace.refusal = it.reason }.getOrNull()

    private suspend fun Raise<Admission.Refuse>.findPrimary(): LinkLease? {
        val server = group.awaitLeader(demand).bind()
        checkRoom(listOf(server))
        val lease = open(server) { listOf(LinkCommand.Begin(isReadOnly = false)) }
        if (lease == null || isUpToDate(lease)) return lease
        discard(lease)
        return null
    }

    private suspend fun Raise<Admission.Refuse>.findReader(): LinkLease? {
        val required = ReadRequirements.find(group, route, sessionState, demand).bind()
        trace.requiredPoint = required.point
        val servers = group.readers(required.point)
        checkRoom(servers)
        for (server in servers) {
            val lease = open(server) { listOf(LinkCommand.Begin(true, required.point)) } ?: continue
            // A server that missed a change of primary may hold different entries at this position.
            if (required.isCoveredBy(lease.link.term)) return lease
            discard(lease)
        }
        return null
    }

    private fun Raise<Admission.Refuse>.checkRoom(servers: List<GroupServer>) =
        ServerAdmission.check(servers.map { it.roomFor(urgency) }, demand).bind()

    private fun remaining() = demand.timeLeft

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
            if (reply?.refusal?.code == StatementCode.BUSY) pause.isServerBusy = true
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
