package org.yuccawind.proxy.caller

import kotlinx.serialization.Serializable
import org.yuccawind.core.model.RequestId

/**
 * Body of a read request.
 *
 * @property statement query in the language of the database
 * @property kind name of a read kind of the service; `default` by default
 * @property deadlineMs time limit in milliseconds; the service's deadline by default
 */
@Serializable
data class ReadBody(
    val statement: String,
    val kind: String = "default",
    val deadlineMs: Long? = null
)

/**
 * Body of a write request.
 *
 * @property requestId request ID chosen by the caller, unique within the service
 * @property statements statements of the transaction
 * @property repeatable true if the transaction is idempotent; false by default
 * @property deadlineMs time limit in milliseconds; the service's deadline by default
 * @property isRetry true if the outcome of an earlier attempt with this ID is unknown; false by
 *   default
 */
@Serializable
data class WriteBody(
    val requestId: RequestId,
    val statements: List<String>,
    val repeatable: Boolean = false,
    val deadlineMs: Long? = null,
    val isRetry: Boolean = false
)

/** Body of a request to execute a statement in a transaction. */
@Serializable
data class ExecuteBody(val statement: String)

/** Body of a commit request; [requestId] identifies the whole transaction. */
@Serializable
data class CommitBody(val requestId: RequestId)

/**
 * Body of every response to a caller.
 *
 * @property code number of the result code
 * @property name name of the result code
 * @property outcome `RAN`, `NOT_RUN` or `UNKNOWN`
 * @property rows rows of a read or write
 * @property server backend server that executed the request
 * @property transaction handle of an open transaction
 * @property ageMs upper bound on the age of the data in milliseconds; null if unknown
 * @property detail reason for a refusal; null otherwise
 */
@Serializable
data class CallerAnswer(
    val code: Int,
    val name: String,
    val outcome: String,
    val rows: List<String> = emptyList(),
    val server: String? = null,
    val transaction: String? = null,
    val ageMs: Long? = null,
    val detail: String? = null
)
