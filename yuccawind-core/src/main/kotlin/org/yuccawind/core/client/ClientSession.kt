package org.yuccawind.core.client

import org.yuccawind.core.route.Route
import org.yuccawind.core.statement.Access
import org.yuccawind.core.statement.SessionState
import org.yuccawind.core.statement.Statement
import org.yuccawind.core.statement.StatementAnswer
import org.yuccawind.core.statement.StatementCode
import org.yuccawind.core.statement.StatementRequest
import org.yuccawind.core.statement.StatementResult

/**
 * One client's session. Its values and prepared names live here and are laid on whichever
 * connection runs its next statement, so that many sessions share few connections.
 *
 * Statements are executed one at a time, in order. Confined to its instance's event loop.
 *
 * @property id identity of the session in the log
 * @property database the name that the client connected to
 */
class ClientSession(val id: String, val database: String, private val context: SessionContext) {
    private val values = SessionValues()
    private val reads = SingleRead(context, values)
    private val writes = SingleWrite(context, values)
    private var transaction: ClientTransaction? = null

    /** State that the client sees. */
    val state: SessionState get() = transaction?.state ?: SessionState.IDLE

    /** The route in force, or null when the configuration has none for the database. */
    val route: Route? get() = context.config().routes[database]

    /** Executes one statement. */
    suspend fun execute(request: StatementRequest): StatementAnswer {
        val startedAt = context.time.markNow()
        val trace = StatementTrace()
        val answer = dispatch(request, trace)
        val elapsed = startedAt.elapsedNow()
        StatementLog.record(context, this, request, answer, trace, elapsed)
        context.observer.answered(request.statement, answer.result, elapsed)
        return answer
    }

    /** Rolls an open transaction back because its client was idle for too long, or is gone. */
    fun abandon() {
        transaction?.abandon()
    }

    /** Drops what the session holds; it executes nothing afterwards. */
    fun close() {
        transaction?.abandon()
        transaction = null
    }

    private suspend fun dispatch(
        request: StatementRequest,
        trace: StatementTrace
    ): StatementAnswer {
        val open = transaction
        if (open?.state == SessionState.FAILED_TRANSACTION) return afterFailure(open, request)
        return when (val statement = request.statement) {
            is Statement.Begin -> begin(statement)

            Statement.Commit -> commit(request, trace)

            Statement.Rollback -> rollback()

            is Statement.SetValue -> local { values.set(statement.name, statement.value) }

            is Statement.Prepare -> local { values.prepare(statement.name, statement.shape) }

            is Statement.Deallocate -> deallocate(statement)

            is Statement.Execute -> executePrepared(request.id, statement, trace)

            is Statement.Direct ->
                run(Work.Direct(request.id, statement.access, statement.text), trace)
        }
    }

    private fun begin(statement: Statement.Begin): StatementAnswer {
        if (transaction != null) return malformed("a transaction is open already")
        val current = route ?: return noDatabase()
        transaction = ClientTransaction(context, values, current, statement.isReadOnly)
            .also { it.open() }
        return done()
    }

    private suspend fun commit(request: StatementRequest, trace: StatementTrace): StatementAnswer {
        val open = transaction ?: return malformed("no transaction is open")
        val answer = open.commit(request.id, trace)
        transaction = null
        return answer
    }

    private fun rollback(): StatementAnswer {
        transaction?.rollback()
        transaction = null
        return done()
    }

    /** Ending a failed transaction rolls it back, whichever way it is ended. */
    private fun afterFailure(open: ClientTransaction, request: StatementRequest): StatementAnswer =
        when (request.statement) {
            Statement.Rollback -> rollback()

            Statement.Commit -> {
                transaction = null
                refused(StatementCode.ABORTED, "the transaction failed and was rolled back")
            }

            else -> {
                val expired = open.takeExpiry()
                expired ?: malformed("the transaction failed; end it first")
            }
        }

    private fun deallocate(statement: Statement.Deallocate): StatementAnswer =
        if (values.deallocate(statement.name)) done() else noStatement(statement.name)

    private suspend fun executePrepared(
        id: String,
        statement: Statement.Execute,
        trace: StatementTrace
    ): StatementAnswer {
        val shape = values.shapeOf(statement.name) ?: return noStatement(statement.name)
        return run(Work.Prepared(id, shape, statement.arguments), trace)
    }

    private suspend fun run(work: Work, trace: StatementTrace): StatementAnswer {
        transaction?.let { return it.run(work, trace) }
        val current = route ?: return noDatabase()
        return when (work.access) {
            Access.READ -> reads.run(current, work, trace)
            Access.WRITE -> writes.run(current, work, trace)
        }
    }

    private fun noStatement(name: String): StatementAnswer {
        transaction?.fail()
        return refused(StatementCode.NO_SUCH_STATEMENT, "no prepared statement is named $name")
    }

    private fun noDatabase() =
        refused(StatementCode.NO_SUCH_DATABASE, "no route has the database $database")

    private fun malformed(detail: String) = refused(StatementCode.MALFORMED, detail)

    private inline fun local(change: () -> Unit): StatementAnswer {
        change()
        return done()
    }

    private fun done() = StatementAnswer(emptyList(), StatementResult.Done(null), state)

    private fun refused(code: StatementCode, detail: String) =
        StatementAnswer(emptyList(), StatementResult.Refused(code, detail), state)
}
