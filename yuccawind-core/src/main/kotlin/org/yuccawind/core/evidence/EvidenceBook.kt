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
private val CERTIFICATE_SPACING = 10.milliseconds

/**
 * What one instance knows about one database group: the shard of evidence for a service.
 *
 * Every method is safe to call from any thread and none suspends.
 *
 * @property majority number of servers that make a majority of the group
 * @property time the clock that all marks come from
 */
class EvidenceBook(val majority: Int, private val time: TimeSource.WithComparableMarks) {
    private val lock = ReentrantLock()
    private val latest = HashMap<BackendServerName, Observation>()
    private val ends = HashMap<BackendServerName, LogPoint>()
    private val certificates = ArrayDeque<Certificate>()
    private val history = EndHistory()
    private val estimates = HashMap<BackendServerName, CatchUpEstimate>()
    private val roundTrips = HashMap<BackendServerName, Duration>()
    private val mutableVersion = MutableStateFlow(0L)

    /** Rises with each new observation or certificate, so that waiters can look again. */
    val version: StateFlow<Long> get() = mutableVersion

    /** Takes in one status report; an answer older than the latest of its server is ignored. */
    fun observe(observation: Observation) {
        lock.withLock {
            val known = latest[observation.server]
            if (known == null || known.sentAt <= observation.sentAt) {
                latest[observation.server] = observation
            }
            val status = observation.status
            if (status.end.term == status.fence) {
                ends.merge(observation.server, status.end, ::maxOf)
            }
            measure(observation)
        }
        mutableVersion.update { it + 1 }
    }

    /** Takes in the proof that a round gave. */
    fun certify(certificate: Certificate) {
        lock.withLock {
            val newest = certificates.lastOrNull()
            if (newest != null && newest.since >= certificate.since) return
            // Any subset of the proofs is sound; a spaced one reaches further back.
            if (isClose(certificate)) certificates.removeLast()
            if (certificates.size == MAX_CERTIFICATES) certificates.removeFirst()
            certificates.addLast(certificate)
        }
        mutableVersion.update { it + 1 }
    }

    /** The newest report of each server. */
    fun observations(): List<Observation> = lock.withLock { latest.values.toList() }

    /** The newest report of [server], or null. */
    fun observationOf(server: BackendServerName): Observation? = lock.withLock { latest[server] }

    /** The newest proof, or null before the first. */
    fun newestCertificate(): Certificate? = lock.withLock { certificates.lastOrNull() }

    /**
     * True when a majority reported a log of the same term that reaches [point]: the write at
     * [point] is in the log of every later primary.
     */
    fun isOnMajority(point: LogPoint): Boolean = lock.withLock {
        ends.values.count { it.term == point.term && it >= point } >= majority
    }

    /** Greatest age that data at [end] can have, or null when no proof covers it. */
    fun ageOf(end: LogPoint): Duration? = lock.withLock {
        certificates.lastOrNull { it.end <= end }?.since?.elapsedNow()
    }

    /** The smallest log point that proves an age of at most [age], or null when none does. */
    fun pointWithin(age: Duration): LogPoint? = certificateWithin(age)?.end

    /** The oldest proof of an age of at most [age], or null when there is none. */
    fun certificateWithin(age: Duration): Certificate? = lock.withLock {
        val oldest = time.markNow() - age
        certificates.getOrNull(certificates.binarySearch { if (it.since < oldest) -1 else 1 }.inv())
    }

    /**
     * Takes in that [server] answered a command with its log at [end]. It serves prediction only:
     * the answer carries no fence, so it proves nothing about a majority.
     */
    fun noteAnswer(server: BackendServerName, end: LogPoint) = lock.withLock {
        val now = time.markNow()
        estimateOf(server).report(end, now, history)
        history.note(end, now)
    }

    /** Takes in that some server held [point] by [at], such as the point of a session token. */
    fun notePoint(point: LogPoint, at: ComparableTimeMark) = lock.withLock {
        history.note(point, at)
    }

    /**
     * Time until [server] is expected to hold [point]; null when this instance knows too little.
     * A prediction, to be checked against the answer's own log end.
     */
    fun catchUpOf(server: BackendServerName, point: LogPoint): Duration? = lock.withLock {
        estimateOf(server).timeUntil(point, history)
    }

    /** Smoothed time of a status probe of [server] and its answer. */
    fun roundTripOf(server: BackendServerName): Duration = lock.withLock {
        roundTrips[server] ?: Duration.ZERO
    }

    private fun measure(observation: Observation) {
        val trip = observation.receivedAt - observation.sentAt
        roundTrips.merge(observation.server, trip) { old, new ->
            old * (1 - ROUND_TRIP_SMOOTHING) + new * ROUND_TRIP_SMOOTHING
        }
        val end = observation.status.end
        estimateOf(observation.server).report(end, observation.receivedAt, history)
        history.note(end, observation.receivedAt)
    }

    private fun estimateOf(server: BackendServerName) =
        estimates.getOrPut(server, ::CatchUpEstimate)

    private fun isClose(certificate: Certificate): Boolean {
        val before = certificates.getOrNull(certificates.size - 2) ?: return false
        return certificate.since - before.since < CERTIFICATE_SPACING
    }
}
