package org.yuccawind.core.client

import kotlin.time.Duration
import org.yuccawind.core.statement.Statement
import org.yuccawind.core.statement.StatementAnswer
import org.yuccawind.core.statement.StatementRequest
import org.yuccawind.core.statement.StatementResult

/** Writes one log line per statement with its route and outcome. */
internal object StatementLog {
    /** Logs [answer], unless the statement succeeded without running on a backend server. */
    fun record(
        context: SessionContext,
        session: ClientSession,
        request: StatementRequest,
        answer: StatementAnswer,
        trace: StatementTrace,
        elapsed: Duration
    ) {
        val result = answer.result
        if (result is StatementResult.Done && result.receipt == null) return
        context.log.record(
            "statement_route",
            "id" to request.id,
            "session" to session.id,
            "database" to session.database,
            "config" to context.config().version,
            "kind" to kindOf(request.statement),
            "server" to trace.server,
            "need" to trace.requiredPoint,
            "attempts" to trace.attempts,
            "refused_for" to trace.refusal,
            "link_wait_ms" to trace.linkWait.inWholeMilliseconds,
            "outcome" to outcomeOf(result),
            "position" to answer.position,
            "state" to answer.state,
            "elapsed_ms" to elapsed.inWholeMilliseconds
        )
    }

    private fun outcomeOf(result: StatementResult) = when (result) {
        is StatementResult.Done -> "done"
        is StatementResult.Refused -> "${result.code}: ${result.detail}"
    }

    private fun kindOf(statement: Statement) = when (statement) {
        is Statement.Begin -> "begin"
        Statement.Commit -> "commit"
        is Statement.Deallocate -> "deallocate"
        is Statement.Direct -> statement.access.name.lowercase()
        is Statement.Execute -> "execute"
        is Statement.Prepare -> "prepare"
        Statement.Rollback -> "rollback"
        is Statement.SetValue -> "set"
    }
}
