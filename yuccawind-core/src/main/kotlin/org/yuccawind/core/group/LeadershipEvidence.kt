package org.yuccawind.core.group

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.yuccawind.core.evidence.Certificate
import org.yuccawind.core.evidence.EvidenceStore
import org.yuccawind.core.fleet.HomeAnswer
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServiceName

/** Timeout of a status request to the primary, and the delay before the next attempt. */
private val REPORT_TIMEOUT = 300.milliseconds
private val REPORT_RETRY_DELAY = 30.milliseconds

/**
 * Evidence of which server of one group is the primary. Confined to the event loop of its context.
 */
internal class LeadershipEvidence(
    private val service: ServiceName,
    private val context: GroupContext
) {
    private val startedAt = context.time.markNow()
    private var newestProofAt: ComparableTimeMark? = null
    private var proofMissingSince: ComparableTimeMark? = null
    private var leadership: Leadership? = null

    /** Certificates, and estimates of the replication lag of the servers. */
    val evidenceStore = EvidenceStore(majority = 1, context.time)

    /** The server that last proved to be the primary; null if it has denied this or left. */
    val leader: GroupServer? get() = leadership?.server

    /** The last known primary, even if it has lost leadership; null before the first. */
    var lastLeader: GroupServer? = null
        private set

    /** Time since the newest proof, or since the start if there is none. */
    val age: Duration get() = (newestProofAt ?: startedAt).elapsedNow()

    /** Time since the first failed attempt to get a newer proof; 0 if none failed. */
    val proofMissingFor: Duration get() = proofMissingSince?.elapsedNow() ?: Duration.ZERO

    /** True if an attempt to get a proof has failed since the newest one. */
    val isProofMissing get() = proofMissingSince != null

    /**
     * False if the newest proof is so old that leadership may have moved to another server and
     * back unnoticed. Then [Leadership.floor] must be determined again.
     */
    val isProofRecent: Boolean
        get() {
            val provedAt = newestProofAt ?: return false
            return provedAt >= context.suspensions.resumedAt() &&
                provedAt.elapsedNow() < MAX_PROOF_AGE
        }

    /**
     * Records that [server] proved to be the primary in its answer to a request sent at [since],
     * with its log ending at [end].
     */
    fun certify(server: GroupServer, end: LogPoint, since: ComparableTimeMark) {
        if (newestProofAt?.let { it >= since } == true && leader !== server) return
        if (!isProofRecent || leadership?.accepts(server, end) != true) setLeader(server, end, null)
        recordProof(server, since)
        if (isCurrent(server, end)) {
            evidenceStore.addCertificate(Certificate(server.name, end, since))
        }
    }

    /**
     * Records a proof about [server] received from a home instance. Returns false and ignores it if
     * the evidence held here is newer and contradicts it.
     */
    fun accept(server: GroupServer, proof: HomeAnswer.Proved): Boolean {
        if (server.hasDeniedLeadershipSince(proof.since)) return false
        if (newestProofAt?.let { it >= proof.since } == true && leader !== server) return false
        if (leadership?.server !== server) setLeader(server, proof.end, proof.floor)
        leadership?.floor = proof.floor
        recordProof(server, proof.since)
        evidenceStore.addCertificate(Certificate(server.name, proof.end, proof.since))
        return true
    }

    /** Records that a request for a proof sent at [at] failed. */
    fun recordMissingProof(at: ComparableTimeMark) {
        if (proofMissingSince == null) proofMissingSince = at
    }

    /** Records that [server] refused a command that only a primary accepts. */
    fun recordNotLeading(server: GroupServer) {
        server.recordLeadershipDenial()
        if (leader !== server) return
        leadership = null
        context.log.record("leader_lost", "service" to service, "server" to server.name)
    }

    /** Removes [server], which is no longer registered. */
    fun forget(server: GroupServer) {
        if (leader === server) leadership = null
    }

    /**
     * Returns true if [server] is the primary and its applied log, which ends at [end], holds
     * everything that the server had received when it became primary.
     */
    fun isCurrent(server: GroupServer, end: LogPoint): Boolean {
        val floor = leadership?.takeIf { it.server === server }?.floor ?: return false
        return end.position >= floor.position
    }

    /** Returns the oldest certificate from [since] or later, or null if there is none. */
    fun certificateSince(since: ComparableTimeMark): Certificate? =
        evidenceStore.certificateWithin(maxOf(since, context.suspensions.resumedAt()).elapsedNow())

    /** Returns [certificateSince] together with the floor, for another instance; or null. */
    fun proofSince(since: ComparableTimeMark): LeadershipProof? {
        val current = leadership ?: return null
        val floor = current.floor ?: return null
        return certificateSince(since)?.takeIf { it.primary == current.server.name }
            ?.let { LeadershipProof(it, floor) }
    }

    private fun recordProof(server: GroupServer, since: ComparableTimeMark) {
        newestProofAt = maxOf(newestProofAt ?: since, since)
        proofMissingSince = null
        server.recordLeadership()
    }

    private fun setLeader(server: GroupServer, end: LogPoint, floor: LogPoint?) {
        val next = Leadership(server, end.term, floor)
        leadership = next
        lastLeader = server
        if (floor == null) context.scope.launch { findFloor(next) }
        context.log.record(
            "leader_found",
            "service" to service,
            "server" to server.name,
            "position" to end,
            "floor" to floor
        )
    }

    /**
     * Requests the end of the received log until it is known. A server can become primary before it
     * has applied everything that it received.
     */
    private suspend fun findFloor(current: Leadership) {
        while (leadership === current && current.floor == null) {
            val received = current.server.report(REPORT_TIMEOUT)?.received
            if (current.floor == null) current.floor = received
            if (current.floor == null) delay(REPORT_RETRY_DELAY)
        }
    }

    companion object {
        /** Age of a proof within which leadership cannot have moved to another server and back. */
        val MAX_PROOF_AGE = 1_000.milliseconds
    }
}
