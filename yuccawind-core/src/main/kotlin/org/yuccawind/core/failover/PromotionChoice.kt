package org.yuccawind.core.failover

import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServerStatus

/** Selects the new primary among the fenced servers. */
object PromotionChoice {
    /**
     * Returns the server with the greatest log end among [answers]; it holds every acknowledged
     * write. Ties go to [preferred], then to the first server by name.
     */
    fun choose(
        answers: Map<BackendServerName, ServerStatus>,
        preferred: BackendServerName?
    ): BackendServerName {
        val greatestEnd = answers.values.maxOf { it.end }
        val candidates = answers.filterValues { it.end == greatestEnd }.keys
        return preferred?.takeIf { it in candidates } ?: candidates.minBy { it.value }
    }
}
