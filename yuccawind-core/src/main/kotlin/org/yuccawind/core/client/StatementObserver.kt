package org.yuccawind.core.client

import kotlin.time.Duration
import org.yuccawind.core.admission.RefusalReason
import org.yuccawind.core.statement.Statement
import org.yuccawind.core.statement.StatementResult
import org.yuccawind.core.workspace.Caller

/** Receives each answer sent to a client, for metrics. */
fun interface StatementObserver {
    /** Called when [statement] has been answered with [result] after [elapsed]. */
    fun answered(statement: Statement, result: StatementResult, elapsed: Duration)

    /**
     * Called when it was decided about a [statement] of [caller] that needs a server: it was
     * refused before it was sent, for [refusal], or admitted if that is null. It [waited] for a
     * connection.
     */
    fun decided(statement: Statement, caller: Caller, refusal: RefusalReason?, waited: Duration) =
        Unit

    companion object {
        /** Observer that ignores all answers. */
        val NONE = StatementObserver { _, _, _ -> }
    }
}
