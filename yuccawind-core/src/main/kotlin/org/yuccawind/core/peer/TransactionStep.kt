package org.yuccawind.core.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.yuccawind.core.model.RequestId

/** A step of an interactive transaction, forwarded to the instance that owns the transaction. */
@Serializable
sealed interface TransactionStep {
    /** Runs [statement]. */
    @Serializable
    @SerialName("execute")
    data class Execute(val statement: String) : TransactionStep

    /** Commits the transaction under [requestId]. */
    @Serializable
    @SerialName("commit")
    data class Commit(val requestId: RequestId) : TransactionStep

    /** Rolls back the transaction. */
    @Serializable
    @SerialName("rollback")
    data object Rollback : TransactionStep
}
