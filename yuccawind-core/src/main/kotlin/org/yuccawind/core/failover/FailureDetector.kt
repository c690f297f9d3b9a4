package org.yuccawind.core.failover

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.yuccawind.core.evidence.Certificate

private val REFUSED_TIMEOUT = 400.milliseconds

/**
 * Failure detector of one instance for the primary of one service: an immutable state that is
 * advanced by certificates and promotions.
 *
 * @property policy computes the timeout from the observed intervals
 * @property silentSince start of the newest certificate's probe round, of the monitoring, or time
 *   of the last promotion, whichever is latest
 * @property term term of the newest certificate or promotion; 0 before the first
 * @property intervals estimate of the intervals between certificates of the same term
 */
data class FailureDetector(
    val policy: DetectionPolicy,
    val silentSince: ComparableTimeMark,
    val term: Long = 0,
    val intervals: IntervalEstimate = IntervalEstimate.NONE
) {
    /** Returns the state after [certificate]; unchanged if the certificate is older. */
    fun afterCertificate(certificate: Certificate): FailureDetector {
        if (certificate.since <= silentSince) return this
        val isSameTerm = certificate.end.term == term
        val next = if (isSameTerm) intervals.after(certificate.since - silentSince) else intervals
        return copy(silentSince = certificate.since, term = certificate.end.term, intervals = next)
    }

    /**
     * Returns the state after a promotion in [term] at [mark]. The silence restarts there, which
     * gives the new primary a full timeout to be confirmed.
     */
    fun afterPromotion(mark: ComparableTimeMark, term: Long): FailureDetector =
        copy(silentSince = maxOf(silentSince, mark), term = term)

    /**
     * Returns the silence after which the primary is suspected; at most 400 ms if [isRefused], that
     * is if the primary refuses connections.
     */
    fun timeout(isRefused: Boolean): Duration {
        val timeout = policy.timeout(intervals)
        return if (isRefused) minOf(timeout, REFUSED_TIMEOUT) else timeout
    }
}
