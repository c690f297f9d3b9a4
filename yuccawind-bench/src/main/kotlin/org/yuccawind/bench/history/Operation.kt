package org.yuccawind.bench.history

import org.yuccawind.core.result.Outcome

/** Operation as observed by its caller. Times are in microseconds on one monotonic clock. */
internal sealed interface Operation {
    /** Number of the session that sent it. */
    val session: Int

    /** Time at which the caller sent it. */
    val invokedAt: Long

    /** Time at which the caller received the response. */
    val returnedAt: Long

    /**
     * Write or transaction that appends the unique [value] to the list at each of [keys].
     *
     * @property id request id of the last attempt
     * @property outcome final outcome reported to the caller
     * @property answers list returned by each append, in the order of [keys]
     * @property server backend server that ran it; null if unknown
     */
    data class Write(
        override val session: Int,
        val id: String,
        val keys: List<String>,
        val value: String,
        val outcome: Outcome,
        val code: String,
        val answers: List<List<String>>,
        val server: String?,
        override val invokedAt: Long,
        override val returnedAt: Long
    ) : Operation

    /**
     * Successful read of the list at [key].
     *
     * @property greatestAge maximum age that its kind allows, in microseconds; null if unbounded
     * @property values list that was read
     */
    data class Read(
        override val session: Int,
        val key: String,
        val greatestAge: Long?,
        val values: List<String>,
        val server: String?,
        override val invokedAt: Long,
        override val returnedAt: Long
    ) : Operation
}

/**
 * Observations of one run.
 *
 * @property operations all operations of all callers
 * @property finalState list at each key, read after all faults have ended
 */
internal data class History(
    val operations: List<Operation>,
    val finalState: Map<String, List<String>>
) {
    val writes = operations.filterIsInstance<Operation.Write>()
    val reads = operations.filterIsInstance<Operation.Read>()
}
