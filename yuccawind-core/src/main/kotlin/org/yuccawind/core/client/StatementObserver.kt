package org.yuccawind.core.client

import kotlin.time.Duration
import org.yuccawind.core.statement.Statement
import org.yuccawind.core.statement.StatementResult

/** Receives each answer sent to a client, for metrics. */
fun interface StatementObserver {
    /** Called when [statement] has been answered with [result] after [elapsed]. */
    fun answered(statement: Statement, result: StatementResult, elapsed: Duration)

    companion object {
        /** Observer that ignores all answers. */
        val NONE = StatementObserver { _, _, _ -> }
    }
}
