package org.yuccawind.core.statement

/**
 * Reason for which a statement was refused or failed.
 *
 * @property guaranteesNoEffect true when the code guarantees to the client that the attempt has no
 *   lasting effect
 */
enum class StatementCode(val guaranteesNoEffect: Boolean) {
    /** No server or connection was available in time, or the server has no free slot. */
    BUSY(true),

    /** The transaction was rolled back. */
    ABORTED(true),

    /** The server's log does not yet include the log point that the read requires. */
    LAGGING(true),

    /** The server is not the primary, or a read-only transaction tried to write. */
    READ_ONLY(true),

    /** The connection reached a server other than the intended one. */
    WRONG_SERVER(true),

    /** The server accepts no further connection. */
    TOO_MANY_CONNECTIONS(true),

    /** The client's key is not known, so nothing of the attempt ran. */
    UNKNOWN_KEY(true),

    /** The workspace has reached its rate limit. */
    RATE_LIMITED(true),

    /** The statement ran and failed. */
    FAILED(false),

    /** No prepared statement has this name. */
    NO_SUCH_STATEMENT(false),

    /** The statement exceeded a time limit. */
    TIMEOUT(false),

    /** A commit or a single write was sent and its outcome is unknown. */
    OUTCOME_UNKNOWN(false),

    /** No route is configured for this database name. */
    NO_SUCH_DATABASE(false),

    /** The message exceeds the size limit. */
    TOO_LARGE(false),

    /** The message can't be parsed, or is not allowed in the session's state. */
    MALFORMED(false),

    /** The server refused with a code that this instance does not know. */
    OTHER(false)
}
