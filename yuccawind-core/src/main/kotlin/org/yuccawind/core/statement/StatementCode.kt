package org.yuccawind.core.statement

/**
 * Why a statement has no result.
 *
 * @property keepsNothing true when the code promises the client that nothing of its attempt is kept
 */
enum class StatementCode(val keepsNothing: Boolean) {
    /** The server, or the way to it, has no room. */
    BUSY(true),

    /** The transaction was rolled back. */
    ABORTED(true),

    /** The server's log is behind what the read needs. */
    LAGGING(true),

    /** The server does not lead its group. */
    READ_ONLY(true),

    /** The connection reached another server than the one meant. */
    WRONG_SERVER(true),

    /** The server accepts no further connection. */
    TOO_MANY_CONNECTIONS(true),

    /** The statement ran and failed. */
    FAILED(false),

    /** No prepared statement has this name. */
    NO_SUCH_STATEMENT(false),

    /** The statement ran into a time limit. */
    TIMEOUT(false),

    /** A commit or a single write was sent and its outcome is not known. */
    OUTCOME_UNKNOWN(false),

    /** No route has this database name. */
    NO_SUCH_DATABASE(false),

    /** The message is larger than allowed. */
    TOO_LARGE(false),

    /** The message can't be read, or does not fit the session's state. */
    MALFORMED(false),

    /** The server refused for a reason that is not known here. */
    OTHER(false)
}
