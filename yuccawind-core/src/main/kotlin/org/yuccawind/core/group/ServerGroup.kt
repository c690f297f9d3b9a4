package org.yuccawind.core.group

import arrow.core.Either
import arrow.core.left
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.evidence.Certificate
import org.yuccawind.core.evidence.EvidenceStore
import org.yuccawind.core.fleet.HomeAnswer
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
    private val evidence = LeadEvidence(service, context)
    private val probe = LeaderProbe(this, context)
    private var maintenance: Job? = null
    private var homeSince: ComparableTimeMark? = null
    private var question: Deferred<HomeAnswer>? = null

    /** Settings of the newest configuration. */
    var settings: GroupSettings = settings

    /** The server that proved last that it leads; null when that is in doubt. */
    val leader: GroupServer? get() = evidence.leader

    /** The server that led last, whether it still does or not; null before the first. */
    val lastLeader: GroupServer? get() = evidence.lastLeader

    /** True when this instance keeps the evidence of the service young and watches its primary. */
    val isHome: Boolean get() = context.fleet.isHome(service, settings.maxConnections)

    /** Names of the instances that are home to the service. */
    val homes: Set<String>
        get() = context.fleet.homesOf(service, settings.maxConnections)
            .mapTo(HashSet()) { it.name }

    /**
     * Time without a proof that a server leads, while this instance asked for one. Away from home
     * nobody asks without a need, so there it counts from the first question in vain.
     */
    val silence: Duration
        get() = if (isHome) {
            minOf(evidence.age, homeSince?.elapsedNow() ?: Duration.ZERO)
        } else {
            evidence.missedFor
        }

    /**
     * True when no server has proved to lead for a while and none is about to: the last primary
     * does not answer. One that answers that it leads no more is being replaced, and soon is.
     */
    val isSilent: Boolean
        get() = silence >= SILENCE_LIMIT && !isLastLeaderAnswering

    /** True when this instance has looked for the primary lately. */
    val isLookedAt: Boolean
        get() = isHome || evidence.isMissed || evidence.age < LOOK_MEMORY

    /** True unless the server that led last has failed to answer since its last answer. */
    val isLastLeaderAnswering: Boolean get() = lastLeader?.let { it.failingSince == null } ?: false

    /** All registered servers. */
    val servers: Collection<GroupServer> get() = byName.values

    /** The newest proof that a server leads, or null. */
    val newestEvidence: Certificate? get() = evidence.book.newestCertificate()

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
    fun certify(server: GroupServer, end: LogPoint, since: ComparableTimeMark) =
        evidence.certify(server, end, since)

    /** Takes in that [server] refused what only a primary runs. */
    fun noteNotLeading(server: GroupServer) = evidence.noteNotLeading(server)

    /**
     * True when [server] leads and its log, which ends at [end] as far as it is applied, holds all
     * that the server had received when it took the lead.
     */
    fun isCurrent(server: GroupServer, end: LogPoint) = evidence.isCurrent(server, end)

    /**
     * The smallest log point known to hold every write acknowledged before [since], asking the
     * primary when no proof is at hand; null when none was had within [patience].
     */
    suspend fun pointSince(since: ComparableTimeMark, patience: Duration): LogPoint? {
        evidence.since(since)?.end?.let { return it }
        if (isSilent) return null
        return withTimeoutOrNull(patience) {
            var point: LogPoint? = null
            while (point == null) {
                if (!search(since)) delay(SEARCH_PAUSE)
                point = evidence.since(since)?.end
            }
            point
        }
    }

    /** What this instance can prove by itself since [since], for another one that asks. */
    suspend fun ownProofSince(since: ComparableTimeMark, patience: Duration): GroupProof? {
        evidence.proofSince(since)?.let { return it }
        return withTimeoutOrNull(patience) {
            var proof: GroupProof? = null
            while (proof == null) {
                if (!probe.run()) delay(SEARCH_PAUSE)
                proof = evidence.proofSince(since)
            }
            proof
        }
    }

    /** Looks for a proof since [since]: away from home the homes are asked first. */
    private suspend fun search(since: ComparableTimeMark): Boolean {
        val startedAt = context.time.markNow()
        val answer = if (isHome) HomeAnswer.NoHome else askHomes(since)
        val isFound = when (answer) {
            is HomeAnswer.Proved -> accept(answer)
            HomeAnswer.NoHome -> probe.run()
            HomeAnswer.NotProved -> probe.runOnKnown()
        }
        if (!isFound) evidence.noteMissed(startedAt)
        return isFound
    }

    /** A proof about a server that is not known here yet serves nobody. */
    private fun accept(proof: HomeAnswer.Proved): Boolean {
        val server = byName[proof.server] ?: return false
        return evidence.accept(server, proof)
    }

    /** Asks the homes, or shares the answer of a question begun before. */
    private suspend fun askHomes(since: ComparableTimeMark): HomeAnswer {
        val running = question?.takeIf { it.isActive } ?: context.scope.async {
            context.homes.find(service, settings.maxConnections, since)
        }.also { question = it }
        return running.await()
    }

    /** The primary, looked for when it is not known; null when none was found in [patience]. */
    suspend fun awaitLeader(patience: Duration): GroupServer? {
        knownLeader()?.let { return it }
        if (isSilent) return null
        return withTimeoutOrNull(patience) {
            val since = context.time.markNow()
            while (!search(since - LeadEvidence.LEAD_MEMORY)) delay(SEARCH_PAUSE)
            leader
        }
    }

    /** The primary if that needs no question. */
    private fun knownLeader(): GroupServer? =
        leader?.takeIf { it.failingSince == null && (isHome || evidence.isLeadRecent) }

    /** Asks who leads; true when a server proved it. */
    suspend fun probeLeader(): Boolean = probe.run()

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
        return evidence.book.expectedCatchUp(server.name, point)?.let { it > Duration.ZERO } == true
    }

    /** Asks the servers that reads pass over how far they are; it takes no statement slot. */
    private fun lookAtPassedOver() {
        for (server in servers.filter { it.isPassedOver }) {
            server.isPassedOver = false
            // Away from home it would take a connection; the estimate of the lag has to do.
            if (isHome && server.inFlight == 0) context.scope.launch { server.lookAt() }
        }
    }

    /** Keeps evidence young and closes unused connections until cancelled. */
    suspend fun run() {
        while (true) {
            maintain()
            delay(MAINTENANCE_PERIOD)
        }
    }

    /**
     * Asks for young evidence at home, or where it was missed, and closes unused connections.
     * Questions go on after the return.
     */
    fun maintain() {
        homeSince = if (isHome) homeSince ?: context.time.markNow() else null
        if (maintenance?.isActive != true && isEvidenceDue()) {
            maintenance = context.scope.launch {
                if (isHome) probe.run() else search(context.time.markNow() - PROBE_AFTER)
            }
        }
        lookAtPassedOver()
        servers.forEach { it.trim() }
    }

    private fun isEvidenceDue(): Boolean {
        if (!isHome) return evidence.isMissed
        val age = newestEvidence?.since?.elapsedNow()
        return age == null || age >= PROBE_AFTER
    }

    /** Closes all connections. */
    fun close() = servers.toList().forEach(::remove)

    private fun add(member: GroupMember) {
        val pool = LinkPool(
            scope = context.scope,
            time = context.time,
            limit = { settings.maxConnections },
            floor = { if (keepsLinks()) LINK_FLOOR else 0 },
            idleLimit = { if (keepsLinks()) KEPT_IDLE_LIMIT else SHARED_IDLE_LIMIT },
            answerTime = { byName[member.name]?.answerTime ?: Duration.ZERO },
            random = context.random,
            open = { open(member.name) }
        )
        byName[member.name] =
            GroupServer(member, pool, context.time, evidence.book, context.fleet.zone)
        context.log.record(
            "server_added",
            "service" to service,
            "server" to member.name,
            "address" to member.address,
            "zone" to member.zone,
            "role" to member.role
        )
    }

    private fun keepsLinks() = isHome || context.fleet.hasShare(settings.maxConnections)

    private suspend fun open(name: BackendServerName): Either<OpenError, PooledLink> {
        val member = byName[name]?.member ?: return OpenError.Unreachable("$name is gone").left()
        return context.connector.open(service, member)
            .map { PooledLink(member, it, context.time) }
    }

    private fun remove(server: GroupServer) {
        byName.remove(server.name)
        evidence.forget(server)
        server.close()
        context.log.record("server_removed", "service" to service, "server" to server.name)
    }

    private companion object {
        /** Unused connections kept to each server: few, for all instances share its limit. */
        const val LINK_FLOOR = 1

        /** Time for which a proof says something about the way to the group's servers. */
        val LOOK_MEMORY = 2_000.milliseconds

        /** Time after which an unused connection above the floor is closed. */
        val KEPT_IDLE_LIMIT = 1_500.milliseconds

        /** The same on an instance that may keep none, for all instances share the limit. */
        val SHARED_IDLE_LIMIT = 150.milliseconds

        /** Time without a proof after which a group counts as silent: two lost probes. */
        val SILENCE_LIMIT = 900.milliseconds
    }
}
