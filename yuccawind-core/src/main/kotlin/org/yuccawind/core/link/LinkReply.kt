package org.yuccawind.core.link

import org.yuccawind.core.group.ServerReport
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.statement.SessionState
import org.yuccawind.core.statement.StatementResult

/**
 * Reply of a backend server to one command.
 *
 * @property rows rows returned by a read; empty for other commands
 * @property result outcome of the command
 * @property state transaction state of the link after the command
 * @property position end of the server's log; null when the reply contains none
 * @property report status of the server; null for commands that do not return it
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

    /** The refusal; null when the command succeeded. */
    val refusal get() = result as? StatementResult.Refused
}
