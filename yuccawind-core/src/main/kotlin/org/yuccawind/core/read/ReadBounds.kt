package org.yuccawind.core.read

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.yuccawind.core.evidence.EvidenceStore
import org.yuccawind.core.model.LogPoint

private const val MARGIN_DIVISOR = 4

/** Decides which answers satisfy the session and age bounds of one read. */
internal class ReadBounds(private val request: ReadRequest, private val evidence: EvidenceStore) {
    /**
     * Returns the log point that a server's log must include to satisfy the read, or null while
     * there is not enough evidence. [margin] allows for the time until the data is returned.
     */
    fun requiredPoint(margin: Duration): LogPoint? {
        val maxAge = maxAge() ?: return request.seen
        return evidence.pointWithin(maxAge - margin.coerceAtMost(maxMargin()))
            ?.let { maxOf(it, request.seen) }
    }

    /**
     * Returns true if data up to log point [end] satisfies the read. [age] is the maximum age of
     * the data now; null if unknown.
     */
    fun accepts(end: LogPoint, age: Duration?): Boolean {
        if (end < request.seen) return false
        val maxAge = maxAge() ?: return true
        return age != null && age <= maxAge
    }

    /**
     * Returns the upper bound of the margin. It is zero for a read with a maximum age of zero: that
     * read requires evidence from after its arrival, which stays valid while the data is in flight.
     */
    private fun maxMargin() = (request.kind.greatestAgeMs ?: 0).milliseconds / MARGIN_DIVISOR

    /**
     * Returns the maximum age of the data, or null if it is not bounded. An age of zero requires
     * evidence from after the arrival of the request.
     */
    private fun maxAge(): Duration? = when (val age = request.kind.greatestAgeMs) {
        null -> null
        0L -> request.arrivedAt.elapsedNow()
        else -> age.milliseconds
    }
}
