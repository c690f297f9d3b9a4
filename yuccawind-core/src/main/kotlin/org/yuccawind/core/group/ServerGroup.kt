package org.yuccawind.core.group

import arrow.core.Either
import arrow.core.left
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.evidence.Certificate
import org.yuccawind.core.evidence.EvidenceBook
import org.yuccawind.core.link.LinkCommand
import org.yuccawind.core.link.LinkPool
import org.yuccawind.core.link.LinkUrgency
import org.yuccawind.core.link.OpenError
import org.yuccawind.core.link.PooledLink
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.route.GroupSettings

/** Age of the newest evidence at which a probe is sent: a third of the strictest usual bound. */
private val PROBE_AFTER = 400.milliseconds

/** Pause between two looks at the age of the evidence. */
private val MAINTENANCE_PERIOD = 100.milliseconds

/** Pause between two searches for the primary while none is found. */
private val SEARCH_PAUSE = 30.milliseconds

/**
 * The backend servers of one service: who leads, what is proved about their logs, and the
 * connections to them. Confined to the event loop of its context.
 *
 * Changes of primary are ordered from outside, so nothing is fenced here: a server proves that it
 * leads by opening a transaction that may write, which others refuse.
 *
 * @property service name of the service
 */
class ServerGroup(
    val service: ServiceName,
    settings: GroupSettings,
    private val context: GroupContext
) {
    private val byName = LinkedHashMap<BackendServerName, GroupServer>()
    private val book = EvidenceBook(majority = 1, context.time)
    private val probe = LeaderProbe(this, context)
    private val startedAt = context.time.markNow()
    private var provedAt: ComparableTimeMark? = null
    private var lead: Lead? = null

    /** Settings of the newest configuration. */
    var settings: GroupSettings = settings

    /** The server that proved last that it leads; null when that is in doubt. */
    val leader: GroupServer? get() = lead?.server

    /** The server that led last, whether it still does or not; null before the first. */
    var lastLeader: GroupServer? = null
        private set

    /** Time since a server last proved that it leads. */
    val silence: Duration get() = (provedAt ?: startedAt).elapsedNow()

    /**
     * True when no server has proved to lead for a while and none is about to: the last primary
     * does not answer. One that answers that it leads no more is being replaced, and soon is.
     */
    val isSilent: Boolean
        get() = silence >= SILENCE_LIMIT && !isLastLeaderAnswering

    /** True unless the server that led last has failed to answer since its last answer. */
    val isLastLeaderAnswering: Boolean get() = lastLeader?.let { it.failingSince == null } ?: false

    /** All registered servers. */
    val servers: Collection<GroupServer> get() = byName.values

    /** The newest proof that a server leads, or null. */
    val newestEvidence: Certificate? get() = book.newestCertificate()

    /** Takes in the registered [members]; servers that are not among them are gone. */
    fun update(members: List<GroupMember>) {
        val listed = members.associateBy { it.name }
        for (server in servers.toList()) {
            val next = listed[server.name]
            if (next == null || !next.isSameProcess(server.member)) remove(server)
        }
        for (member in members) {
            val known = byName[member.name]
            if (known == null) add(member) else known.member = member
        }
    }

    /** Takes in that [server] led when it answered a question sent at [since], with log [end]. */
    fun certify(server: GroupServer, end: LogPoint, since: ComparableTimeMark) {
        if (provedAt?.let { it >= since } == true && leader !== server) return
        if (lead?.isContinuedBy(server, end) != true) follow(server, end)
        provedAt = maxOf(provedAt ?: since, since)
        server.noteLead()
        if (isCurrent(server, end)) book.certify(Certificate(server.name, end, since))
    }

    /**
     * True when [server] leads and its log, which ends at [end] as far as it is applied, holds all
     * that the server had received when it took the lead.
     */
    fun isCurrent(server: GroupServer, end: LogPoint): Boolean {
        val floor = lead?.takeIf { it.server === server }?.floor ?: return false
        return end.position >= floor.position
    }

    /** Takes in that [server] refused what only a primary runs. */
    fun noteNotLeading(server: GroupServer) {
        server.noteDenial()
        if (leader !== server) return
        lead = null
        context.log.record("leader_lost", "service" to service, "server" to server.name)
    }

    /**
     * The smallest log point known to hold every write acknowledged before [since], asking the
     * primary when no proof is at hand; null when none was had within [patience].
     */
    suspend fun pointSince(since: ComparableTimeMark, patience: Duration): LogPoint? {
        provedSince(since)?.let { return it }
        if (isSilent) return null
        return withTimeoutOrNull(patience) {
            var point: LogPoint? = null
            while (point == null) {
                if (!probe.run()) delay(SEARCH_PAUSE)
                point = provedSince(since)
            }
            point
        }
    }

    private fun provedSince(since: ComparableTimeMark): LogPoint? =
        book.pointWithin(maxOf(since, context.suspensions.resumedAt()).elapsedNow())

    /** The primary, looked for when it is not known; null when none was found in [patience]. */
    suspend fun awaitLeader(patience: Duration): GroupServer? {
        leader?.takeIf { it.failingSince == null }?.let { return it }
        if (isSilent) return null
        return withTimeoutOrNull(patience) {
            while (!probe.run()) delay(SEARCH_PAUSE)
            leader
        }
    }

    /** Asks who leads; true when a server proved it. */
    suspend fun probeLeader(): Boolean = probe.run()

    /** How [server] says that it stands; null when it did not within [limit]. */
    suspend fun report(server: GroupServer, limit: Duration): ServerReport? =
        reportAfter(server, LinkCommand.Status, limit)

    /** Stops replica [server] from receiving, below [term]; its report after that, or null. */
    suspend fun pause(server: GroupServer, term: Long, limit: Duration): ServerReport? =
        reportAfter(server, LinkCommand.Pause(term), limit)

    /** Lets replica [server] receive again. */
    suspend fun resume(server: GroupServer, limit: Duration): ServerReport? =
        reportAfter(server, LinkCommand.Resume, limit)

    /** Makes [primary] a replica if its term is below [term]; its report after that, or null. */
    suspend fun stepDown(primary: GroupServer, term: Long, limit: Duration): ServerReport? =
        reportAfter(primary, LinkCommand.StepDown(term), limit)

    /**
     * Servers for a read that needs [point], the soonest expected answer first. Those expected to
     * lack the point for a while are left out, and leaving ones too, unless there is no other.
     *
     * The load this answers: a service whose replicas lag by seconds. Its reads would ask each of
     * them in turn, in vain, while what they wait for is a connection to the primary.
     */
    fun readers(point: LogPoint): List<GroupServer> {
        val staying = servers.filter { !it.member.isLeaving }.ifEmpty { servers }
        val (behind, ready) = staying.partition { isBehind(it, point) }
        behind.forEach { it.isPassedOver = true }
        val hasWorking = ready.any { it.failingSince == null }
        return (if (hasWorking) ready else staying).sortedWith(
            compareBy({ it.failingSince != null }, { it.expectedTime() })
        )
    }

    private fun isBehind(server: GroupServer, point: LogPoint): Boolean {
        if (server === leader) return false
        val known = server.position
        if (known != null && known.position >= point.position) return false
        return book.catchUpOf(server.name, point)?.let { it > Duration.ZERO } == true
    }

    /** Asks the servers that reads pass over how far they are; it takes no statement slot. */
    private fun lookAtPassedOver() {
        for (server in servers.filter { it.isPassedOver }) {
            server.isPassedOver = false
            if (server.inFlight == 0) context.scope.launch { lookAt(server) }
        }
    }

    private suspend fun lookAt(server: GroupServer) {
        val link = server.acquire(REPORT_LIMIT, LinkUrgency.PROBE)?.getOrNull() ?: return
        try {
            val answer = withTimeoutOrNull(REPORT_LIMIT) {
                server.exchange(link, listOf(LinkCommand.Rollback))
            }
            if (answer == null) link.close()
        } finally {
            server.release(link)
        }
    }

    /** Keeps evidence young and closes unused connections until cancelled. */
    suspend fun run() {
        while (true) {
            val age = newestEvidence?.since?.elapsedNow()
            if (age == null || age >= PROBE_AFTER) probe.run()
            lookAtPassedOver()
            servers.forEach { it.trim() }
            delay(MAINTENANCE_PERIOD)
        }
    }

    /** Closes all connections. */
    fun close() = servers.toList().forEach(::remove)

    private suspend fun reportAfter(
        server: GroupServer,
        command: LinkCommand,
        limit: Duration
    ): ServerReport? {
        val link = server.acquire(limit, LinkUrgency.PROBE)?.getOrNull() ?: return null
        try {
            val replies = withTimeoutOrNull(limit) { server.exchange(link, listOf(command)) }
            if (replies == null) link.close()
            return replies?.getOrNull()?.last()?.report
        } finally {
            server.release(link)
        }
    }

    private fun add(member: GroupMember) {
        val pool = LinkPool(
            scope = context.scope,
            time = context.time,
            limit = { settings.maxConnections },
            floor = { LINK_FLOOR },
            answerTime = { byName[member.name]?.answerTime ?: Duration.ZERO },
            open = { open(member.name) }
        )
        byName[member.name] = GroupServer(member, pool, context.time, book)
        context.log.record(
            "server_added",
            "service" to service,
            "server" to member.name,
            "address" to member.address,
            "zone" to member.zone,
            "role" to member.role
        )
    }

    private suspend fun open(name: BackendServerName): Either<OpenError, PooledLink> {
        val member = byName[name]?.member ?: return OpenError.Unreachable("$name is gone").left()
        return context.connector.open(service, member)
            .map { PooledLink(member, it, context.time) }
    }

    private fun remove(server: GroupServer) {
        byName.remove(server.name)
        if (leader === server) lead = null
        server.close()
        context.log.record("server_removed", "service" to service, "server" to server.name)
    }

    private fun follow(server: GroupServer, end: LogPoint) {
        val next = Lead(server, end.term)
        lead = next
        lastLeader = server
        context.scope.launch { findFloor(next) }
        context.log.record(
            "leader_found",
            "service" to service,
            "server" to server.name,
            "position" to end
        )
    }

    /** A server can take the lead before it has applied all that it received. */
    private suspend fun findFloor(current: Lead) {
        while (lead === current) {
            val received = report(current.server, REPORT_LIMIT)?.received
            if (received != null) {
                current.floor = received
                return
            }
            delay(SEARCH_PAUSE)
        }
    }

    /**
     * The lead of one server.
     *
     * @property term term of its log when it was found to lead
     * @property floor end of what it had received by then, applied or not; null until it is known
     */
    private class Lead(val server: GroupServer, var term: Long, var floor: LogPoint? = null) {
        /**
         * True when [other] with its log at [end] goes on with this lead. The term of the log rises
         * by one with the first write of a lead; by more when another server led in between.
         */
        fun isContinuedBy(other: GroupServer, end: LogPoint): Boolean {
            if (other !== server || end.term > term + 1) return false
            term = maxOf(term, end.term)
            return true
        }
    }

    private companion object {
        /** Unused connections kept to each server: few, for all instances share its limit. */
        const val LINK_FLOOR = 1

        /** Time for a report, which may wait for a statement slot. */
        val REPORT_LIMIT = 300.milliseconds

        /** Time without a proof after which a group counts as silent: two lost probes. */
        val SILENCE_LIMIT = 900.milliseconds
    }
}
