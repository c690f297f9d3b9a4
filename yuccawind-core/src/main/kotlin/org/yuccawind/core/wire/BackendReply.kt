package org.yuccawind.core.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.yuccawind.core.model.ServerStatus
import org.yuccawind.core.port.Answer
import org.yuccawind.core.port.BackendError

/** Wire format of a reply of a backend server. */
@Serializable
sealed interface BackendReply {
    /** Answer to the command sent with the number [correlation]. */
    @Serializable
    @SerialName("answered")
    data class Answered(val correlation: Long, val answer: Answer) : BackendReply

    /** The server's status after the requested change, if any. */
    @Serializable
    @SerialName("status")
    data class Status(val status: ServerStatus) : BackendReply

    /** A connection was opened; [connection] is its id. */
    @Serializable
    @SerialName("opened")
    data class Opened(val connection: Long) : BackendReply

    /** The server refused the call and did not run it. */
    @Serializable
    @SerialName("refused")
    data class Refused(val reason: RefusalReason, val detail: String) : BackendReply {
        /** Maps the refusal to the error type of the backend port. */
        fun toError(): BackendError = when (reason) {
            RefusalReason.NOT_PRIMARY -> BackendError.NotPrimary(detail)
            RefusalReason.NO_CONNECTION -> BackendError.NoConnection(detail)
            RefusalReason.STATEMENT -> BackendError.Failed(detail)
        }
    }
}

/** Reason why a backend server refused a call. */
@Serializable
enum class RefusalReason { NOT_PRIMARY, NO_CONNECTION, STATEMENT }
