package org.yuccawind.core.client

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import org.yuccawind.core.group.ServerGroup
import org.yuccawind.core.link.LinkCommand
import org.yuccawind.core.route.Route
import org.yuccawind.core.statement.Access
import org.yuccawind.core.statement.SessionState
import org.yuccawind.core.statement.StatementAnswer
import org.yuccawind.core.statement.StatementCode
import org.yuccawind.core.statement.StatementResult
import org.yuccawind.core.workspace.Caller

/** Time limit for a server to confirm a rollback; the link is closed when it expires. */
internal val ROLLBACK_TIMEOUT = 1.seconds

/**
 * An open transaction of a client. It uses one connection from beginning to end; if the connection
 * is lost, the transaction is rolled back.
 */
internal class ClientTransaction(
    private val context: SessionContext,
    private val sessionState: ClientSessionState,
    private val route: Route,
    private val caller: Caller,
    private val isReadOnly: Boolean
) {
    private val group: ServerGroup? = context.groups(route.service)
    private var lease: LinkLease? = null
    private var pendingBegin: PendingBegin? = null
    private var hasWritten = false
    private var expiry: StatementAnswer? = null

    /** Transaction state reported to the client. */
    var state = SessionState.IN_TRANSACTION
        private set

    /**
     * Starts opening the transaction on a server in the background, while the client receives the
     * answer to its `BEGIN`.
     *
     * Each statement of a transaction costs a round trip to the primary's zone; opening the
     * transaction only with the first statement would add another one.
     */
    fun open() {
        pendingBegin = startBegin(context.time.markNow() + route.statementTimeout)
    }

    /** Runs a statement in the transaction. */
    suspend fun run(statement: BackendStatement, trace: StatementTrace): StatementAnswer {
        if (isReadOnly && statement.access == Access.WRITE) {
            fail()
            return refused(StatementCode.READ_ONLY, "the transaction may only read")
        }
        val deadline = context.time.markNow() + route.statementTimeout
        val lease = lease ?: awaitLease(deadline, trace)
            ?: return failWith(StatementCode.BUSY, "no server to begin on")
        trace.server = lease.server.name
        if (statement.access == Access.WRITE) hasWritten = true
        val commands = lease.link.commandsToApply(sessionState.variables) +
            statement.commandsFor(lease.link)
        return when (val result = lease.server.call(lease.link, commands, -deadline.elapsedNow())) {
            is CallResult.Answered -> toAnswer(lease, result)
            is CallResult.Lost -> failWith(StatementCode.ABORTED, "connection lost")
            CallResult.TimedOut -> failWith(StatementCode.ABORTED, "no answer in time")
        }
    }

    /** Commits under the client's [id]. The transaction has ended afterwards, also on errors. */
    suspend fun commit(id: String, trace: StatementTrace): StatementAnswer {
        val deadline = context.time.markNow() + route.statementTimeout
        state = SessionState.IDLE
        try {
            val lease = lease ?: awaitLease(deadline, trace)
                ?: return refused(StatementCode.BUSY, "no server to begin on")
            trace.server = lease.server.name
            val sentAt = context.time.markNow()
            val commands = listOf(LinkCommand.Commit(id))
            return when (
                val result = lease.server.call(lease.link, commands, -deadline.elapsedNow())
            ) {
                is CallResult.Answered -> committed(lease, result, sentAt)
                is CallResult.Lost -> commitLost(result.wasSent)
                CallResult.TimedOut -> commitLost(wasSent = true)
            }
        } finally {
            end()
        }
    }

    /** Rolls back in the background; the link returns to its pool once this is confirmed. */
    fun rollback() {
        val current = lease
        val pending = pendingBegin
        lease = null
        pendingBegin = null
        if (current == null && pending == null) return
        context.scope.launch {
            (current ?: pending?.lease?.await())?.let { rollBackAndRelease(it) }
        }
    }

    private suspend fun rollBackAndRelease(lease: LinkLease) {
        try {
            lease.server.call(lease.link, listOf(LinkCommand.Rollback), ROLLBACK_TIMEOUT)
        } finally {
            lease.server.release(lease.link)
        }
    }

    /** Rolls back and marks the transaction as failed. */
    fun fail() {
        rollback()
        state = SessionState.FAILED_TRANSACTION
    }

    /** Rolls back after an idle timeout or a client disconnect, unless it failed before. */
    fun abandon() {
        if (state != SessionState.IN_TRANSACTION) return
        fail()
        expiry = refused(StatementCode.ABORTED, "the transaction was idle for too long")
    }

    /** Returns the answer to the first statement after [abandon], and null from the second on. */
    fun takeExpiry(): StatementAnswer? = expiry.also { expiry = null }

    /** Waits for the pending begin; null when it fails or the transaction is rolled back. */
    private suspend fun awaitLease(
        deadline: ComparableTimeMark,
        trace: StatementTrace
    ): LinkLease? {
        val first = pendingBegin ?: startBegin(deadline).also { pendingBegin = it }
        var found = first.lease.await()
        trace.merge(first.trace)
        // An attempt started by open() has an earlier deadline than the statement; try once more.
        if (found == null && pendingBegin === first && first.deadline < deadline) {
            val second = startBegin(deadline).also { pendingBegin = it }
            found = second.lease.await()
            trace.merge(second.trace)
        }
        if (pendingBegin == null) return null
        pendingBegin = null
        lease = found
        return found
    }

    private fun startBegin(deadline: ComparableTimeMark): PendingBegin {
        val trace = StatementTrace()
        return PendingBegin(deadline, trace, context.scope.async { begin(deadline, trace) })
    }

    private suspend fun begin(deadline: ComparableTimeMark, trace: StatementTrace): LinkLease? {
        val opener = TransactionOpener(
            context,
            group ?: return null,
            sessionState,
            route,
            caller,
            deadline,
            trace
        )
        return if (isReadOnly) opener.openOnReader() else opener.openOnPrimary()
    }

    private fun toAnswer(lease: LinkLease, result: CallResult.Answered): StatementAnswer {
        val reply = result.last
        val code = reply.refusal?.code
        if (code == StatementCode.READ_ONLY) group?.recordNotLeading(lease.server)
        if (reply.isDone) group?.repeats?.recordSuccess()
        if (reply.state != SessionState.IN_TRANSACTION) fail()
        return StatementAnswer(reply.rows, reply.result, state, reply.position)
    }

    private fun committed(
        lease: LinkLease,
        result: CallResult.Answered,
        sentAt: ComparableTimeMark
    ): StatementAnswer {
        val reply = result.last
        val position = reply.position
        if (reply.isDone && hasWritten && position != null) {
            group?.certify(lease.server, position, sentAt)
            sessionState.recordWrite(position)
        }
        return StatementAnswer(reply.rows, reply.result, SessionState.IDLE, position)
    }

    private fun commitLost(wasSent: Boolean): StatementAnswer {
        val isUnknown = wasSent && hasWritten
        val code = if (isUnknown) StatementCode.OUTCOME_UNKNOWN else StatementCode.ABORTED
        return refused(code, "connection lost during the commit")
    }

    /** Releases the connection, also when the client disconnected during the commit. */
    private fun end() {
        lease?.let { it.server.release(it.link) }
        lease = null
        rollback()
    }

    private fun failWith(code: StatementCode, detail: String): StatementAnswer {
        fail()
        return refused(code, detail)
    }

    private fun refused(code: StatementCode, detail: String) =
        StatementAnswer(emptyList(), StatementResult.Refused(code, detail), state)

    private class PendingBegin(
        val deadline: ComparableTimeMark,
        val trace: StatementTrace,
        val lease: Deferred<LinkLease?>
    )
}
