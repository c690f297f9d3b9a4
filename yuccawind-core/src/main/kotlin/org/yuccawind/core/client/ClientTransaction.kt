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

/** Time for a server to confirm that a transaction is rolled back, before its link is closed. */
internal val ROLLBACK_LIMIT = 1.seconds

/**
 * A client's transaction. It takes a connection when it begins and keeps it to the end; a
 * connection that is lost ends the transaction, rolled back.
 */
internal class ClientTransaction(
    private val context: SessionContext,
    private val values: SessionValues,
    private val route: Route,
    private val isReadOnly: Boolean
) {
    private val group: ServerGroup? = context.groups(route.service)
    private var pin: Pin? = null
    private var opening: Opening? = null
    private var hasWritten = false
    private var expiry: StatementAnswer? = null

    /** State that the client sees. */
    var state = SessionState.IN_TRANSACTION
        private set

    /**
     * Begins on a server while the client still reads the answer to its own begin.
     *
     * The load this answers: transactions of several statements, each with a way to the primary's
     * zone; a connection opened with the first one would come on top.
     */
    fun open() {
        opening = newOpening(context.time.markNow() + route.statementTimeout)
    }

    /** Runs a statement of the transaction. */
    suspend fun run(work: Work, trace: StatementTrace): StatementAnswer {
        if (isReadOnly && work.access == Access.WRITE) {
            fail()
            return refused(StatementCode.READ_ONLY, "the transaction may only read")
        }
        val deadline = context.time.markNow() + route.statementTimeout
        val pin = pin ?: pinned(deadline, trace)
            ?: return failWith(StatementCode.BUSY, "no server to begin on")
        trace.server = pin.server.name
        if (work.access == Access.WRITE) hasWritten = true
        val commands = pin.link.imprint(values.image) + work.commandsFor(pin.link)
        return when (val result = pin.server.call(pin.link, commands, -deadline.elapsedNow())) {
            is CallResult.Answered -> answerOf(pin, result)
            is CallResult.Lost -> failWith(StatementCode.ABORTED, "connection lost")
            CallResult.TimedOut -> failWith(StatementCode.ABORTED, "no answer in time")
        }
    }

    /** Commits under the client's [id]. The transaction is over afterwards, however it ended. */
    suspend fun commit(id: String, trace: StatementTrace): StatementAnswer {
        val deadline = context.time.markNow() + route.statementTimeout
        state = SessionState.IDLE
        try {
            val pin = pin ?: pinned(deadline, trace)
                ?: return refused(StatementCode.BUSY, "no server to begin on")
            trace.server = pin.server.name
            val sentAt = context.time.markNow()
            val commands = listOf(LinkCommand.Commit(id))
            return when (val result = pin.server.call(pin.link, commands, -deadline.elapsedNow())) {
                is CallResult.Answered -> committed(pin, result, sentAt)
                is CallResult.Lost -> lostCommit(result.wasSent)
                CallResult.TimedOut -> lostCommit(wasSent = true)
            }
        } finally {
            end()
        }
    }

    /** Rolls back; the connection serves others once the server has confirmed it. */
    fun rollback() {
        val pinned = pin
        val opened = opening
        pin = null
        opening = null
        if (pinned == null && opened == null) return
        context.scope.launch { (pinned ?: opened?.pin?.await())?.let { giveBack(it) } }
    }

    private suspend fun giveBack(pin: Pin) {
        try {
            pin.server.call(pin.link, listOf(LinkCommand.Rollback), ROLLBACK_LIMIT)
        } finally {
            pin.server.release(pin.link)
        }
    }

    /** Rolls back and leaves the transaction failed. */
    fun fail() {
        rollback()
        state = SessionState.FAILED_TRANSACTION
    }

    /** Rolls back a transaction that its client left open. */
    fun abandon() {
        if (state != SessionState.IN_TRANSACTION) return
        fail()
        expiry = refused(StatementCode.ABORTED, "the transaction was idle for too long")
    }

    /** The answer for the first statement after [abandon]; null later. */
    fun takeExpiry(): StatementAnswer? = expiry.also { expiry = null }

    private suspend fun pinned(deadline: ComparableTimeMark, trace: StatementTrace): Pin? {
        val first = opening ?: newOpening(deadline).also { opening = it }
        var found = first.pin.await()
        trace.add(first.trace)
        // An attempt that began with the transaction may have had less time than the statement.
        if (found == null && opening === first && first.deadline < deadline) {
            val second = newOpening(deadline).also { opening = it }
            found = second.pin.await()
            trace.add(second.trace)
        }
        if (opening == null) return null
        opening = null
        pin = found
        return found
    }

    private fun newOpening(deadline: ComparableTimeMark): Opening {
        val trace = StatementTrace()
        return Opening(deadline, trace, context.scope.async { begin(deadline, trace) })
    }

    private suspend fun begin(deadline: ComparableTimeMark, trace: StatementTrace): Pin? {
        val begin = TransactionBegin(context, group ?: return null, values, route, deadline, trace)
        return if (isReadOnly) begin.onReader() else begin.onLeader()
    }

    private fun answerOf(pin: Pin, result: CallResult.Answered): StatementAnswer {
        val reply = result.last
        val code = reply.refusal?.code
        if (code == StatementCode.READ_ONLY) group?.recordNotLeading(pin.server)
        if (reply.state != SessionState.IN_TRANSACTION) fail()
        return StatementAnswer(reply.rows, reply.result, state, reply.position)
    }

    private fun committed(
        pin: Pin,
        result: CallResult.Answered,
        sentAt: ComparableTimeMark
    ): StatementAnswer {
        val reply = result.last
        val position = reply.position
        if (reply.isDone && hasWritten && position != null) {
            group?.certify(pin.server, position, sentAt)
            values.noteWrite(position)
        }
        return StatementAnswer(reply.rows, reply.result, SessionState.IDLE, position)
    }

    private fun lostCommit(wasSent: Boolean): StatementAnswer {
        val isUnknown = wasSent && hasWritten
        val code = if (isUnknown) StatementCode.OUTCOME_UNKNOWN else StatementCode.ABORTED
        return refused(code, "connection lost during the commit")
    }

    /** Gives the connection back, also when the client left during the commit. */
    private fun end() {
        pin?.let { it.server.release(it.link) }
        pin = null
        rollback()
    }

    private fun failWith(code: StatementCode, detail: String): StatementAnswer {
        fail()
        return refused(code, detail)
    }

    private fun refused(code: StatementCode, detail: String) =
        StatementAnswer(emptyList(), StatementResult.Refused(code, detail), state)

    private class Opening(
        val deadline: ComparableTimeMark,
        val trace: StatementTrace,
        val pin: Deferred<Pin?>
    )
}
