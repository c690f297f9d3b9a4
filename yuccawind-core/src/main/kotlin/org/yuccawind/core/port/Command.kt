package org.yuccawind.core.port

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.yuccawind.core.model.RequestId

/** Command sent over a connection. The proxy does not parse statements. */
@Serializable
sealed interface Command {
    /** Runs a read-only [statement] outside a transaction. */
    @Serializable
    @SerialName("query")
    data class Query(val statement: String) : Command

    /**
     * Runs [statements] as one transaction on the primary of [term]. If [requestId] is set, the
     * same transaction inserts it into the ledger, so that a retry detects an earlier attempt.
     */
    @Serializable
    @SerialName("apply")
    data class Apply(
        val term: Long,
        val statements: List<String>,
        val requestId: RequestId? = null
    ) : Command

    /** Opens a transaction on the primary of [term]. */
    @Serializable
    @SerialName("begin")
    data class Begin(val term: Long) : Command

    /** Runs [statement] inside the open transaction. */
    @Serializable
    @SerialName("execute")
    data class Execute(val statement: String) : Command

    /** Commits the open transaction and inserts [requestId], if set, into the ledger. */
    @Serializable
    @SerialName("commit")
    data class Commit(val requestId: RequestId? = null) : Command

    /** Rolls the open transaction back. */
    @Serializable
    @SerialName("rollback")
    data object Rollback : Command

    /** Looks [requestId] up in the ledger of the primary of [term]. */
    @Serializable
    @SerialName("find")
    data class Find(val term: Long, val requestId: RequestId) : Command

    /** Marks [requestId] as cancelled unless the ledger already has an entry for it. */
    @Serializable
    @SerialName("cancel")
    data class Cancel(val term: Long, val requestId: RequestId) : Command

    /** Clears the session state of the connection between two transactions. */
    @Serializable
    @SerialName("reset")
    data object Reset : Command
}
