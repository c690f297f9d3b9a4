package org.yuccawind.core.read

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.yuccawind.core.evidence.EvidenceStore
import org.yuccawind.core.model.LogPoint

private const val MARGIN_DIVISOR = 4

/** What an answer must hold to satisfy one read. */
internal class ReadBounds(private val request: ReadRequest, private val book: EvidenceStore) {
    /** The log point to look for; null while no evidence tells. */
    fun needed(margin: Duration): LogPoint? {
        val bound = ageBound() ?: return request.seen
        return book.pointWithin(bound - margin.coerceAtMost(marginLimit()))
            ?.let { maxOf(it, request.seen) }
    }

    /** True when data that ends at [end], at most [age] old now, satisfies the read. */
    fun accepts(end: LogPoint, age: Duration?): Boolean {
        if (end < request.seen) return false
        val bound = ageBound() ?: return true
        return age != null && age <= bound
    }

    /** Data grows older on its way, but evidence begun after the arrival stays so. */
    private fun marginLimit() = (request.kind.greatestAgeMs ?: 0).milliseconds / MARGIN_DIVISOR

    /** An age of zero asks for evidence begun since the request arrived. */
    private fun ageBound(): Duration? = when (val age = request.kind.greatestAgeMs) {
        null -> null
        0L -> request.arrivedAt.elapsedNow()
        else -> age.milliseconds
    }
}
