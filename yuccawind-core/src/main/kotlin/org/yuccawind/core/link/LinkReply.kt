package org.yuccawind.core.link

import org.yuccawind.core.group.ServerReport
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.statement.SessionState
import org.yuccawind.core.statement.StatementResult

/**
 * A backend server's answer to one command.
 *
 * @property rows rows of a read
 * @property result how the command ended
 * @property state state of the link after it
 * @property position end of the server's log; null when it told none
 * @property report how the server stands; null unless it was asked for that
 */
data class LinkReply(
    val rows: List<String>,
    val result: StatementResult,
    val state: SessionState,
    val position: LogPoint?,
    val report: ServerReport? = null
) {
    /** True when the command succeeded. */
    val isDone get() = result is StatementResult.Done

    /** The refusal, or null. */
    val refusal get() = result as? StatementResult.Refused
}
