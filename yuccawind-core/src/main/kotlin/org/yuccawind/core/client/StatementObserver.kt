package org.yuccawind.core.client

import kotlin.time.Duration
import org.yuccawind.core.statement.Statement
import org.yuccawind.core.statement.StatementResult

/** Is told of each answer to a client, for metrics. */
fun interface StatementObserver {
    /** [statement] was answered with [result] after [elapsed]. */
    fun answered(statement: Statement, result: StatementResult, elapsed: Duration)

    companion object {
        /** Takes no note. */
        val NONE = StatementObserver { _, _, _ -> }
    }
}
