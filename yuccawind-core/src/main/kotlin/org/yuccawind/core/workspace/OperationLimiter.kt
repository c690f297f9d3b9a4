package org.yuccawind.core.workspace

/**
 * Enforces the rate limits of workspaces over all instances together. An operation is a statement
 * outside a transaction, or a whole transaction.
 */
fun interface OperationLimiter {
    /** Counts one operation of [workspace]. Returns false if it exceeds the limit. */
    suspend fun tryStart(workspace: Workspace): Boolean

    companion object {
        /** Admits every operation. */
        val NONE = OperationLimiter { true }
    }
}
