package org.yuccawind.core.write

import kotlin.time.ComparableTimeMark
import org.yuccawind.core.model.RequestId

/**
 * Input of the write path.
 *
 * @property requestId the caller's id, unique within the service
 * @property statements statements of the transaction, opaque to the proxy
 * @property repeatable true when the write is idempotent
 * @property deadline latest time for the answer
 * @property isRetry true when an earlier attempt with the same id may have run
 */
data class WriteRequest(
    val requestId: RequestId,
    val statements: List<String>,
    val repeatable: Boolean,
    val deadline: ComparableTimeMark,
    val isRetry: Boolean = false
)
