package org.yuccawind.core.port

import kotlinx.serialization.Serializable
import org.yuccawind.core.model.LogPoint

/**
 * A backend server's answer to one [Command].
 *
 * @property end end of the server's log when the command ran; for a write, the log point of its
 *   entry
 * @property rows rows returned, one string each
 * @property ledger state of the request id in the ledger; [LedgerState.NEW] for commands without
 *   a request id
 */
@Serializable
data class Answer(
    val end: LogPoint,
    val rows: List<String> = emptyList(),
    val ledger: LedgerState = LedgerState.NEW
)

/** State of a request id in the ledger, the server's table of request ids. */
@Serializable
enum class LedgerState {
    /** This command inserted the entry, or no entry exists. */
    NEW,

    /** An earlier attempt ran; the answer holds its rows. */
    RAN,

    /** The request id was cancelled; no attempt with it can run. */
    CANCELLED
}
