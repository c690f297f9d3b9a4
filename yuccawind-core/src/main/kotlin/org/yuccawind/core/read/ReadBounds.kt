package org.yuccawind.core.read

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.yuccawind.core.evidence.EvidenceStore
import org.yuccawind.core.model.LogPoint

private const val MARGIN_DIVISOR = 4

/** Decides which answers satisfy the session and age bounds of one read. */
internal class ReadBounds(private val request: ReadRequest, private val evidence: EvidenceStore) {
    /**
     * The log point that a server must hold to satisfy the read, or null while evidence is lacking.
     * [margin] allows for the time that the data ages until it is returned.
     */
    fun requiredPoint(margin: Duration): LogPoint? {
        val maxAge = maxAge() ?: return request.seen
        return evidence.pointWithin(maxAge - margin.coerceAtMost(maxMargin()))
            ?.let { maxOf(it, request.seen) }
    }

    /**
     * True when data up to log point [end] satisfies the read. [age] is the maximum age of the data
     * now; null when unknown.
     */
    fun accepts(end: LogPoint, age: Duration?): Boolean {
        if (end < request.seen) return false
        val maxAge = maxAge() ?: return true
        return age != null && age <= maxAge
    }

    /**
     * Upper bound of the margin. It is zero for a read of age zero: that read requires evidence
     * begun after its arrival, which stays valid while the data is in flight.
     */
    private fun maxMargin() = (request.kind.greatestAgeMs ?: 0).milliseconds / MARGIN_DIVISOR

    /**
     * Maximum age of the data, or null when it is not bounded. An age of zero requires evidence
     * begun after the request arrived.
     */
    private fun maxAge(): Duration? = when (val age = request.kind.greatestAgeMs) {
        null -> null
        0L -> request.arrivedAt.elapsedNow()
        else -> age.milliseconds
    }
}
