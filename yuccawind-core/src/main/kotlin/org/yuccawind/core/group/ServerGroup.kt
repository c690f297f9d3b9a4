package org.yuccawind.core.group

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.evidence.Certificate
import org.yuccawind.core.evidence.EvidenceBook
import org.yuccawind.core.link.LinkCommand
import org.yuccawind.core.link.LinkPool
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

    /** Settings of the newest configuration. */
    var settings: GroupSettings = settings

    /** The server that proved last that it leads; null when that is in doubt. */
    var leader: GroupServer? = null
        private set

    /** The server that led last, whether it still does or not; null before the first. */
    var lastLeader: GroupServer? = null
        private set

    private val startedAt = context.time.markNow()

    /** Time since a server last proved that it leads. */
    val silence: Duration get() = (newestEvidence?.since ?: startedAt).elapsedNow()

    /**
     * True when no server has proved to lead for a while and none is about to: the last primary
     * does not answer. One that answers that it leads no more is being replaced, which is soon over.
     */
    val isSilent: Boolean
        get() = silence >= SILENCE_LIMIT && lastLeader?.isDenying(SILENCE_LIMIT) != true

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
        val newest = newestEvidence
        // An older leader's answer can be late; it proves nothing about the newer term.
        if (newest != null && newest.end.term > end.term) return
        if (leader !== server) lead(server, end)
        server.noteLead()
        book.certify(Certificate(server.name, end, since))
    }

    /** Takes in that [server] refused what only a primary runs. */
    fun noteNotLeading(server: GroupServer) {
        server.noteDenial()
        if (leader !== server) return
        leader = null
        context.log.record("leader_lost", "service" to service, "server" to server.name)
    }

    /**
     * The smallest log point known to hold every write acknowledged before [since], asking the
     * primary when no proof is at hand; null when none was had within [patience].
     */
    suspend fun pointSince(since: ComparableTimeMark, patience: Duration): LogPoint? {
        book.pointWithin(since.elapsedNow())?.let { return it }
        if (isSilent) return null
        return withTimeoutOrNull(patience) {
            var point: LogPoint? = null
            while (point == null) {
                if (!probe.run()) delay(SEARCH_PAUSE)
                point = book.pointWithin(since.elapsedNow())
            }
            point
        }
    }

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

    /** Makes [primary] a replica if its term is below [term]; its report after that, or null. */
    suspend fun stepDown(primary: GroupServer, term: Long, limit: Duration): ServerReport? =
        reportAfter(primary, LinkCommand.StepDown(term), limit)

    /** Servers for a read, the soonest expected answer first; leaving ones only if alone. */
    fun readers(): List<GroupServer> {
        val staying = servers.filter { !it.member.isLeaving }
        return staying.ifEmpty { servers }.sortedWith(
            compareBy({ it.failingSince != null }, { it.expectedTime() })
        )
    }

    /** Keeps evidence young and closes unused connections until cancelled. */
    suspend fun run() {
        while (true) {
            val age = newestEvidence?.since?.elapsedNow()
            if (age == null || age >= PROBE_AFTER) probe.run()
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
        val link = server.acquire(limit)?.getOrNull() ?: return null
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
            open = { open(member.name) }
        )
        byName[member.name] = GroupServer(member, pool, context.time)
        context.log.record(
            "server_added",
            "service" to service,
            "server" to member.name,
            "address" to member.address,
            "zone" to member.zone,
            "role" to member.role
        )
    }

    private suspend fun open(name: BackendServerName) = context.connector
        .open(service, checkNotNull(byName[name]).member)
        .map { PooledLink(checkNotNull(byName[name]).member, it, context.time) }

    private fun remove(server: GroupServer) {
        byName.remove(server.name)
        if (leader === server) leader = null
        server.close()
        context.log.record("server_removed", "service" to service, "server" to server.name)
    }

    private fun lead(server: GroupServer, end: LogPoint) {
        leader = server
        lastLeader = server
        context.log.record(
            "leader_found",
            "service" to service,
            "server" to server.name,
            "position" to end
        )
    }

    private companion object {
        /** Unused connections kept to each server, so that a burst of two does not wait for one. */
        const val LINK_FLOOR = 2

        /** Time without a proof after which a group counts as silent: two lost probes. */
        val SILENCE_LIMIT = 900.milliseconds
    }
}
