package org.yuccawind.core.statement

import org.yuccawind.core.model.LogPoint

/** State of a session, as its client sees it. */
enum class SessionState { IDLE, IN_TRANSACTION, FAILED_TRANSACTION }

/**
 * The answer to one statement.
 *
 * @property rows rows of a read
 * @property result how the statement ended
 * @property state state of the session after it
 * @property position end of the log of the server that ran it; null when none did
 */
data class StatementAnswer(
    val rows: List<String>,
    val result: StatementResult,
    val state: SessionState,
    val position: LogPoint? = null
)

/** How a statement ended. */
sealed interface StatementResult {
    /**
     * It ran.
     *
     * @property receipt the server's proof that it ran; null where no server took part
     */
    data class Done(val receipt: String?) : StatementResult

    /** It failed, or was refused. */
    data class Refused(val code: StatementCode, val detail: String) : StatementResult
}
