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

/** Time for a primary's report, and the pause before it is asked again. */
private val REPORT_LIMIT = 300.milliseconds
private val REPORT_PAUSE = 30.milliseconds

/** What is proved about the lead of one group. Confined to the event loop of its context. */
internal class LeadEvidence(private val service: ServiceName, private val context: GroupContext) {
    private val startedAt = context.time.markNow()
    private var provedAt: ComparableTimeMark? = null
    private var missedSince: ComparableTimeMark? = null
    private var lead: Lead? = null

    /** Proofs, and what they tell about the lag of the servers. */
    val book = EvidenceStore(majority = 1, context.time)

    /** The server that proved last that it leads; null when that is in doubt. */
    val leader: GroupServer? get() = lead?.server

    /** The server that led last, whether it still does or not; null before the first. */
    var lastLeader: GroupServer? = null
        private set

    /** Time since a server last proved that it leads. */
    val age: Duration get() = (provedAt ?: startedAt).elapsedNow()

    /** Time since a proof was first asked for in vain after the newest one; 0 if none was. */
    val missedFor: Duration get() = missedSince?.elapsedNow() ?: Duration.ZERO

    /** True when a proof was asked for in vain since the newest one. */
    val isMissed get() = missedSince != null

    /**
     * False when the newest proof is so old that the lead may have gone to another server and come
     * back unseen. Then what the primary had received by now has to be asked anew.
     */
    val isLeadRecent: Boolean
        get() {
            val proved = provedAt ?: return false
            return proved >= context.suspensions.resumedAt() && proved.elapsedNow() < LEAD_MEMORY
        }

    /** Takes in that [server] led when it answered a question sent at [since], with log [end]. */
    fun certify(server: GroupServer, end: LogPoint, since: ComparableTimeMark) {
        if (provedAt?.let { it >= since } == true && leader !== server) return
        if (!isLeadRecent || lead?.isContinuedBy(server, end) != true) follow(server, end, null)
        noteProof(server, since)
        if (isCurrent(server, end)) book.addCertificate(Certificate(server.name, end, since))
    }

    /** Takes in what a home has proved about [server]; false when more is known here. */
    fun accept(server: GroupServer, proof: HomeAnswer.Proved): Boolean {
        if (server.hasDeniedSince(proof.since)) return false
        if (provedAt?.let { it >= proof.since } == true && leader !== server) return false
        if (lead?.server !== server) follow(server, proof.end, proof.floor)
        lead?.floor = proof.floor
        noteProof(server, proof.since)
        book.addCertificate(Certificate(server.name, proof.end, proof.since))
        return true
    }

    /** Takes in that a proof was asked for at [at] and not had. */
    fun noteMissed(at: ComparableTimeMark) {
        if (missedSince == null) missedSince = at
    }

    /** Takes in that [server] refused what only a primary runs. */
    fun noteNotLeading(server: GroupServer) {
        server.noteDenial()
        if (leader !== server) return
        lead = null
        context.log.record("leader_lost", "service" to service, "server" to server.name)
    }

    /** Takes in that [server] is gone. */
    fun forget(server: GroupServer) {
        if (leader === server) lead = null
    }

    /**
     * True when [server] leads and its log, which ends at [end] as far as it is applied, holds all
     * that the server had received when it took the lead.
     */
    fun isCurrent(server: GroupServer, end: LogPoint): Boolean {
        val floor = lead?.takeIf { it.server === server }?.floor ?: return false
        return end.position >= floor.position
    }

    /** The oldest proof from [since] or later; null when there is none. */
    fun since(since: ComparableTimeMark): Certificate? =
        book.certificateWithin(maxOf(since, context.suspensions.resumedAt()).elapsedNow())

    /** The same with what another instance needs to go on from it. */
    fun proofSince(since: ComparableTimeMark): GroupProof? {
        val current = lead ?: return null
        val floor = current.floor ?: return null
        return since(since)?.takeIf { it.primary == current.server.name }
            ?.let { GroupProof(it, floor) }
    }

    private fun noteProof(server: GroupServer, since: ComparableTimeMark) {
        provedAt = maxOf(provedAt ?: since, since)
        missedSince = null
        server.noteLead()
    }

    private fun follow(server: GroupServer, end: LogPoint, floor: LogPoint?) {
        val next = Lead(server, end.term, floor)
        lead = next
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

    /** A server can take the lead before it has applied all that it received. */
    private suspend fun findFloor(current: Lead) {
        while (lead === current && current.floor == null) {
            val received = current.server.report(REPORT_LIMIT)?.received
            if (current.floor == null) current.floor = received
            if (current.floor == null) delay(REPORT_PAUSE)
        }
    }

    companion object {
        /** Time in which the lead can't go to another server and come back. */
        val LEAD_MEMORY = 1_000.milliseconds
    }
}
