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

/** Pause before a full server is asked again. */
private val BUSY_PAUSE = 20.milliseconds

/** Finds a server for a transaction and opens it there; nothing of the client is sent yet. */
internal class TransactionBegin(
    private val context: SessionContext,
    private val group: ServerGroup,
    private val values: SessionValues,
    private val route: Route,
    private val deadline: ComparableTimeMark,
    private val trace: StatementTrace
) {
    private val arrivedAt = context.time.markNow()
    private val urgency = LinkUrgency(arrivedAt + route.targetLatency, route.priority)

    /** Opens a transaction that may write, on the primary. */
    suspend fun onLeader(): Pin? {
        while (remaining() > Duration.ZERO) {
            val server = group.awaitLeader(remaining()) ?: return null
            val pin = open(server) { listOf(LinkCommand.Begin(isReadOnly = false)) }
            if (pin != null && isCurrent(pin)) return pin
            pin?.let { discard(it) }
            delay(BUSY_PAUSE)
        }
        return null
    }

    /** Opens a read-only transaction on a server whose log is proved to hold what it must see. */
    suspend fun onReader(): Pin? {
        if (route.freshness == Freshness.Latest) return onLeader()
        while (remaining() > Duration.ZERO) {
            val need = ReadNeeds.find(group, route, values, arrivedAt, remaining()) ?: return null
            trace.need = need.point
            for (server in group.readers(need.point)) {
                val pin = open(server) { listOf(LinkCommand.Begin(true, need.point)) } ?: continue
                // A server that missed a change of primary may hold other entries at this number.
                if (need.isCoveredBy(pin.link.term)) return pin
                discard(pin)
            }
            delay(BUSY_PAUSE)
        }
        return null
    }

    private fun remaining() = -deadline.elapsedNow()

    /** A new primary may still apply what it received; its own reads would miss that. */
    private fun isCurrent(pin: Pin) =
        pin.link.position?.let { group.isCurrent(pin.server, it) } == true

    private suspend fun open(server: GroupServer, begin: () -> List<LinkCommand>): Pin? {
        trace.server = server.name
        trace.attempts++
        val startedAt = context.time.markNow()
        val link = server.acquire(minOf(LINK_PATIENCE, remaining()), urgency)?.getOrNull()
        trace.linkWait += startedAt.elapsedNow()
        if (link == null) return null
        val sentAt = context.time.markNow()
        val commands = link.imprint(values.image) + begin()
        val result = server.call(link, commands, minOf(BEGIN_LIMIT, remaining()))
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
        return Pin(server, link)
    }

    private suspend fun discard(pin: Pin) {
        pin.server.call(pin.link, listOf(LinkCommand.Rollback), ROLLBACK_LIMIT)
        pin.server.release(pin.link)
    }

    private companion object {
        /** Greatest wait for a connection to one server. */
        val LINK_PATIENCE = 200.milliseconds

        /** Greatest time for a server to begin a transaction, which takes no slot. */
        val BEGIN_LIMIT = 300.milliseconds
    }
}
