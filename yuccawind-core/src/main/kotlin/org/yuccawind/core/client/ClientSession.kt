package org.yuccawind.core.client

import org.yuccawind.core.route.Route
import org.yuccawind.core.statement.Access
import org.yuccawind.core.statement.SessionState
import org.yuccawind.core.statement.Statement
import org.yuccawind.core.statement.StatementAnswer
import org.yuccawind.core.statement.StatementCode
import org.yuccawind.core.statement.StatementRequest
import org.yuccawind.core.statement.StatementResult
import org.yuccawind.core.workspace.AccessKey
import org.yuccawind.core.workspace.Caller

/** Number of characters of a client's name that an error repeats. */
private const val MAX_NAME_CHARS = 64

/**
 * The session of one client. Session variables and prepared statement names are kept here and
 * applied to the connection that runs the next statement, so that many sessions share few
 * connections.
 *
 * Statements are executed one at a time, in order. Confined to the event loop of its instance.
 *
 * @property id session identifier in the logs
 * @property database database name that the client connected to
 * @param key key that the client presented; null for none
 */
class ClientSession(
    val id: String,
    val database: String,
    private val context: SessionContext,
    private val key: AccessKey? = null
) {
    private val sessionState = ClientSessionState(context.stateLimit)
    private val reads = SingleRead(context, sessionState)
    private val writes = SingleWrite(context, sessionState)
    private var transaction: ClientTransaction? = null

    /** Transaction state reported to the client. */
    val state: SessionState get() = transaction?.state ?: SessionState.IDLE

    /** Size of the session variables and prepared statements, in bytes. */
    val stateBytes: Long get() = sessionState.bytes

    /** Current route of the database, or null when the configuration has none. */
    val route: Route? get() = context.config().routes[database]

    /** The caller that the key currently identifies, or null when [route] requires another key. */
    val caller: Caller?
        get() = context.config().workspaces.callerOf(key, route?.allowsAnonymous ?: false)

    /** Executes one statement. */
    suspend fun execute(request: StatementRequest): StatementAnswer {
        val startedAt = context.time.markNow()
        val trace = StatementTrace()
        val answer = dispatch(request, trace)
        val elapsed = startedAt.elapsedNow()
        StatementLog.record(context, this, request, answer, trace, elapsed)
        context.observer.answered(request.statement, answer.result, elapsed)
        recordDecision(request.statement, trace)
        return answer
    }

    private fun recordDecision(statement: Statement, trace: StatementTrace) {
        val refusal = trace.refusal
        if (refusal == null && trace.attempts == 0) return
        val from = caller ?: Caller.Anonymous
        context.observer.decided(statement, from, refusal, trace.linkWait)
        if (refusal != null) route?.let { context.refusals.record(it.service, refusal) }
    }

    /** Rolls back an open transaction after an idle timeout or a client disconnect. */
    fun abandon() {
        transaction?.abandon()
    }

    /** Rolls back an open transaction. The session must not be used afterwards. */
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

            is Statement.SetValue -> local { sessionState.set(statement.name, statement.value) }

            is Statement.Prepare -> local { sessionState.prepare(statement.name, statement.shape) }

            is Statement.Deallocate -> deallocate(statement)

            is Statement.Execute -> executePrepared(request.id, statement, trace)

            is Statement.Direct ->
                run(BackendStatement.Direct(request.id, statement.access, statement.text), trace)
        }
    }

    private suspend fun begin(statement: Statement.Begin): StatementAnswer {
        if (transaction != null) return malformed("a transaction is open already")
        return startOperation { route, caller ->
            transaction =
                ClientTransaction(context, sessionState, route, caller, statement.isReadOnly)
                    .also { it.open() }
            done()
        }
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

    /** Handles a statement in a failed transaction: both commit and rollback end it. */
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
        if (sessionState.deallocate(statement.name)) done() else noStatement(statement.name)

    private suspend fun executePrepared(
        id: String,
        statement: Statement.Execute,
        trace: StatementTrace
    ): StatementAnswer {
        val shape = sessionState.shapeOf(statement.name) ?: return noStatement(statement.name)
        return run(BackendStatement.Prepared(id, shape, statement.arguments), trace)
    }

    private suspend fun run(statement: BackendStatement, trace: StatementTrace): StatementAnswer {
        transaction?.let { return it.run(statement, trace) }
        return startOperation { route, caller ->
            when (statement.access) {
                Access.READ -> reads.run(route, caller, statement, trace)
                Access.WRITE -> writes.run(route, caller, statement, trace)
            }
        }
    }

    /**
     * Runs [operation] if the database has a route, the key identifies a caller and the caller's
     * workspace is within its rate limit. The three are checked with each operation, since the
     * configuration may change while the session is open.
     */
    private suspend inline fun startOperation(
        operation: (Route, Caller) -> StatementAnswer
    ): StatementAnswer {
        val current = route ?: return noDatabase()
        val from = caller
            ?: return refused(StatementCode.UNKNOWN_KEY, "the key belongs to no workspace")
        if (from is Caller.Member && !context.limiter.tryStart(from.definition)) {
            return refused(StatementCode.RATE_LIMITED, "rate limit of the workspace")
        }
        return operation(current, from)
    }

    private fun noStatement(name: String): StatementAnswer {
        transaction?.fail()
        return refused(
            StatementCode.NO_SUCH_STATEMENT,
            "no prepared statement is named ${name.take(MAX_NAME_CHARS)}"
        )
    }

    private fun noDatabase() = refused(StatementCode.NO_SUCH_DATABASE, "no route has this database")

    private fun malformed(detail: String) = refused(StatementCode.MALFORMED, detail)

    private inline fun local(change: () -> Boolean): StatementAnswer {
        if (change()) return done()
        return refused(StatementCode.TOO_LARGE, "too many variables and prepared statements")
    }

    private fun done() = StatementAnswer(emptyList(), StatementResult.Done(null), state)

    private fun refused(code: StatementCode, detail: String) =
        StatementAnswer(emptyList(), StatementResult.Refused(code, detail), state)
}
