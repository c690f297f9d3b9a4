package org.yuccawind.core.statement

import org.yuccawind.core.model.LogPoint

/** Transaction state of a session, as reported to its client. */
enum class SessionState { IDLE, IN_TRANSACTION, FAILED_TRANSACTION }

/**
 * The answer to one statement.
 *
 * @property rows rows returned by a read; empty for other statements
 * @property result outcome of the statement
 * @property state state of the session after the statement
 * @property position end of the log of the server that ran the statement; null when none did
 */
data class StatementAnswer(
    val rows: List<String>,
    val result: StatementResult,
    val state: SessionState,
    val position: LogPoint? = null
)

/** Outcome of a statement. */
sealed interface StatementResult {
    /**
     * The statement succeeded.
     *
     * @property receipt confirmation text of the server; null when no server was involved
     */
    data class Done(val receipt: String?) : StatementResult

    /**
     * The statement failed or was refused.
     *
     * @property detail explanation for the client. Holds no name of a configuration: the texts of
     *   servers and clients are bytes, and such names are Unicode
     */
    data class Refused(val code: StatementCode, val detail: String) : StatementResult
}
