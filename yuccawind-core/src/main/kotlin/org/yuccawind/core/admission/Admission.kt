package org.yuccawind.core.admission

import kotlin.time.Duration

/** Decision about a statement that arrives or waits. */
sealed interface Admission {
    /** The statement is served now. */
    data object Take : Admission

    /** The statement waits at most [limit]; then it is decided again. */
    data class Wait(val limit: Duration) : Admission

    /**
     * The statement is refused at once, because of [reason]. It has not run.
     *
     * @property retryAfter time after which another attempt can be expected to succeed; null when
     *   another instance may serve it at once, or when this is not known
     */
    data class Refuse(val reason: RefusalReason, val retryAfter: Duration? = null) : Admission {
        /** Detail for the client. [lastAttempt] tells how the last attempt ended, if it matters. */
        fun describe(lastAttempt: String): String {
            val detail = when (reason) {
                RefusalReason.OUT_OF_TIME, RefusalReason.SERVERS_BUSY -> lastAttempt
                else -> reason.detail
            }
            return retryAfter?.let { "$detail; try again in ${it.inWholeMilliseconds} ms" }
                ?: detail
        }
    }
}

/** Reason for which a statement is refused before it is sent to a server. */
enum class RefusalReason(val detail: String) {
    /** This instance has started and has not yet had proof of the service's primary. */
    NO_PRIMARY_YET("no primary is known yet"),

    /** The primary does not answer, and its successor cannot be expected in time. */
    PRIMARY_LOST("no primary is known"),

    /** The statements in front take more time than this one has. */
    NO_ROOM("the statements in front take longer than the time left"),

    /** The servers refuse statements and the budget for repeating them is used up. */
    SERVERS_BUSY("the servers are busy"),

    /** The time of the statement has passed. */
    OUT_OF_TIME("its time has passed")
}
