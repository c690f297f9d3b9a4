package org.yuccawind.core.evidence

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.update
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.LogPoint

private const val MAX_CERTIFICATES = 1_024
private const val ROUND_TRIP_SMOOTHING = 0.2
private val MIN_CERTIFICATE_SPACING = 10.milliseconds

/**
 * Stores what one instance has observed about the database group of one service: status reports,
 * certificates and replication lag.
 *
 * All methods are thread-safe and none suspends.
 *
 * @property majority number of servers that form a majority of the group
 * @property time clock of all time marks passed to this store
 */
class EvidenceStore(val majority: Int, private val time: TimeSource.WithComparableMarks) {
    private val lock = ReentrantLock()
    private val latestObservations = HashMap<BackendServerName, Observation>()
    private val highestEnds = HashMap<BackendServerName, LogPoint>()
    private val certificates = ArrayDeque<Certificate>()
    private val history = LogEndHistory()
    private val estimates = HashMap<BackendServerName, CatchUpEstimate>()
    private val roundTrips = HashMap<BackendServerName, Duration>()
    private val mutableVersion = MutableStateFlow(0L)

    /** Incremented on each new observation or certificate, so that waiters can re-evaluate. */
    val version: StateFlow<Long> get() = mutableVersion

    /**
     * Records one status report. A report whose probe was sent before that of the latest one does
     * not replace it, but still counts towards the majority and the estimates.
     */
    fun observe(observation: Observation) {
        lock.withLock {
            val known = latestObservations[observation.server]
            if (known == null || known.sentAt <= observation.sentAt) {
                latestObservations[observation.server] = observation
            }
            val status = observation.status
            if (status.end.term == status.fence) {
                highestEnds.merge(observation.server, status.end, ::maxOf)
            }
            updateEstimates(observation)
        }
        mutableVersion.update { it + 1 }
    }

    /** Records [certificate] unless a certificate at least as new is stored. */
    fun addCertificate(certificate: Certificate) {
        lock.withLock {
            val newest = certificates.lastOrNull()
            if (newest != null && newest.since >= certificate.since) return
            // Any subset of the certificates is sound. Keeping them spaced makes the bounded list
            // reach further back in time.
            if (isWithinSpacing(certificate)) certificates.removeLast()
            if (certificates.size == MAX_CERTIFICATES) certificates.removeFirst()
            certificates.addLast(certificate)
        }
        mutableVersion.update { it + 1 }
    }

    /** Returns the latest report of each server. */
    fun observations(): List<Observation> = lock.withLock { latestObservations.values.toList() }

    /** Returns the latest report of [server], or null. */
    fun observationOf(server: BackendServerName): Observation? = lock.withLock {
        latestObservations[server]
    }

    /** Returns the newest certificate, or null before the first. */
    fun newestCertificate(): Certificate? = lock.withLock { certificates.lastOrNull() }

    /**
     * Returns true if a majority reported a log of the same term that reaches [point]. The write at
     * [point] is then contained in the log of every later primary.
     */
    fun isOnMajority(point: LogPoint): Boolean = lock.withLock {
        highestEnds.values.count { it.term == point.term && it >= point } >= majority
    }

    /**
     * Returns the upper bound of the staleness of data at [end], or null if no certificate covers
     * it.
     */
    fun ageOf(end: LogPoint): Duration? = lock.withLock {
        certificates.lastOrNull { it.end <= end }?.since?.elapsedNow()
    }

    /**
     * Returns the smallest log point whose staleness is proven to be at most [age], or null if
     * there is none.
     */
    fun pointWithin(age: Duration): LogPoint? = certificateWithin(age)?.end

    /** Returns the oldest certificate that is at most [age] old, or null if there is none. */
    fun certificateWithin(age: Duration): Certificate? = lock.withLock {
        val oldest = time.markNow() - age
        certificates.getOrNull(certificates.binarySearch { if (it.since < oldest) -1 else 1 }.inv())
    }

    /**
     * Records the log end [end] with which [server] answered a command. Used for predictions only:
     * the answer contains no fence, so it proves nothing about a majority.
     */
    fun recordAnswer(server: BackendServerName, end: LogPoint) = lock.withLock {
        val now = time.markNow()
        estimateOf(server).update(end, now, history)
        history.record(end, now)
    }

    /**
     * Records that some server had reached [point] at [at]. The point may come from a session
     * token, for example.
     */
    fun recordLogPoint(point: LogPoint, at: ComparableTimeMark) = lock.withLock {
        history.record(point, at)
    }

    /**
     * Returns the expected time until [server] has replicated [point], or null if the history is
     * insufficient. This is a prediction: callers verify it against the log end of the answer.
     */
    fun expectedCatchUp(server: BackendServerName, point: LogPoint): Duration? = lock.withLock {
        estimateOf(server).timeUntil(point, history)
    }

    /** Returns the smoothed round-trip time of status probes to [server]; zero before the first. */
    fun roundTripOf(server: BackendServerName): Duration = lock.withLock {
        roundTrips[server] ?: Duration.ZERO
    }

    private fun updateEstimates(observation: Observation) {
        val roundTrip = observation.receivedAt - observation.sentAt
        roundTrips.merge(observation.server, roundTrip) { old, new ->
            old * (1 - ROUND_TRIP_SMOOTHING) + new * ROUND_TRIP_SMOOTHING
        }
        val end = observation.status.end
        estimateOf(observation.server).update(end, observation.receivedAt, history)
        history.record(end, observation.receivedAt)
    }

    private fun estimateOf(server: BackendServerName) =
        estimates.getOrPut(server, ::CatchUpEstimate)

    private fun isWithinSpacing(certificate: Certificate): Boolean {
        val previous = certificates.getOrNull(certificates.size - 2) ?: return false
        return certificate.since - previous.since < MIN_CERTIFICATE_SPACING
    }
}
