package org.yuccawind.core.group

import arrow.core.Either
import arrow.core.left
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.yuccawind.core.admission.Admission
import org.yuccawind.core.admission.PARTS_OF_GOAL
import org.yuccawind.core.admission.PrimaryBelief
import org.yuccawind.core.admission.RepeatBudget
import org.yuccawind.core.admission.StatementDemand
import org.yuccawind.core.evidence.Certificate
import org.yuccawind.core.evidence.EvidenceStore
import org.yuccawind.core.link.LinkCommand
import org.yuccawind.core.link.LinkPool
import org.yuccawind.core.link.LinkUrgency
import org.yuccawind.core.link.OpenError
import org.yuccawind.core.link.PooledLink
import org.yuccawind.core.load.LoadReport
import org.yuccawind.core.load.ServerView
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.route.GroupSettings
import org.yuccawind.core.workspace.WorkspaceName

/**
 * Age of the newest evidence at which a probe is sent: a third of the strictest staleness bound in
 * common use.
 */
private val PROBE_EVIDENCE_AGE = 400.milliseconds

/** Interval between runs of [ServerGroup.maintain]. */
private val MAINTENANCE_PERIOD = 100.milliseconds

/**
 * The backend servers of one service: the current primary, the evidence about their logs, and the
 * connections to them. Confined to the event loop of its context.
 *
 * Changes of primary are ordered from outside, so this class does no fencing. A server proves to be
 * the primary by beginning a read-write transaction, which replicas refuse.
 *
 * @property service name of the service
 */
class ServerGroup(
    val service: ServiceName,
    settings: GroupSettings,
    private val context: GroupContext
) {
    private val byName = LinkedHashMap<BackendServerName, GroupServer>()
    private val evidence = LeadershipEvidence(service, context)
    private val probe = LeaderProbe(this, context)
    private val loadExchange = LoadExchange(this, context)
    private val proofs = ProofFinder(this, context, evidence, probe, loadExchange)
    private val readerChoice = ReaderChoice(this, context, evidence)
    private val pauseCheck = PauseCheck(this, context)
    private val fullRecordedAt = HashMap<BackendServerName, ComparableTimeMark>()
    private var maintenance: Job? = null
    private var homeRoleSince: ComparableTimeMark? = null

    /** Settings from the newest configuration. */
    var settings: GroupSettings = settings

    /** The server that last proved to be the primary; null if it has denied this or left. */
    val leader: GroupServer? get() = evidence.leader

    /** The last known primary, even if it has lost leadership; null before the first. */
    val lastLeader: GroupServer? get() = evidence.lastLeader

    /** True if this instance is a home of the service: it renews the evidence continuously. */
    val isHome: Boolean get() = context.fleet.isHome(service, settings.maxConnections)

    /** Names of the home instances of the service. */
    val homes: Set<String>
        get() = context.fleet.homesOf(service, settings.maxConnections)
            .mapTo(HashSet()) { it.name }

    /**
     * Time without a proof of leadership during which this instance asked for one. An instance that
     * is not a home asks only on demand, so there it counts from the first failed attempt.
     */
    val silence: Duration
        get() = if (isHome) {
            minOf(evidence.age, homeRoleSince?.elapsedNow() ?: Duration.ZERO)
        } else {
            evidence.proofMissingFor
        }

    /**
     * True if no server has proved to be the primary for [SILENCE_TIMEOUT] and the last primary
     * does not answer. A primary that answers but denies leadership is being replaced, which takes
     * little time, so the group does not count as silent then.
     */
    val isSilent: Boolean
        get() = silence >= SILENCE_TIMEOUT && !isLastLeaderAnswering

    private val hasAnsweringSuccessor
        get() = servers.any {
            it !== lastLeader && it.failingSince == null && it.answeredAt != null
        }

    /** What this instance knows about the primary, for statements that have no proof of it. */
    val belief: PrimaryBelief
        get() = when {
            lastLeader == null -> PrimaryBelief.NotSeenYet
            !isSilent -> PrimaryBelief.Expected
            hasAnsweringSuccessor -> PrimaryBelief.Lost(silence)
            else -> PrimaryBelief.CutOff
        }

    /** Limits how often statements are sent again to servers that refuse them as busy. */
    val repeats = RepeatBudget(context.time, context.random)

    /** True if this instance has recently searched for the primary, so [isSilent] is meaningful. */
    val isMonitored: Boolean
        get() = isHome || evidence.isProofMissing || evidence.age < EVIDENCE_RECENCY

    /** True if a last primary is known and no request to it has failed since its newest answer. */
    val isLastLeaderAnswering: Boolean get() = lastLeader?.let { it.failingSince == null } ?: false

    /** All registered servers. */
    val servers: Collection<GroupServer> get() = byName.values

    /** True if a replica is known to be paused. */
    val hasPausedReplicas: Boolean get() = servers.any { it !== leader && it.isPaused }

    /** The newest certificate of leadership, or null. */
    val newestEvidence: Certificate? get() = evidence.evidenceStore.newestCertificate()

    /**
     * Applies the registered [members]. Removes servers that are not among them or whose process
     * has changed.
     */
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
        loadExchange.load.retain(byName.keys)
    }

    /**
     * Records that [server] proved to be the primary in its answer to a request sent at [since],
     * with its log ending at [end].
     */
    fun certify(server: GroupServer, end: LogPoint, since: ComparableTimeMark) =
        evidence.certify(server, end, since)

    /** Records that [server] refused a command that only a primary accepts. */
    fun recordNotLeading(server: GroupServer) = evidence.recordNotLeading(server)

    /**
     * Returns true if [server] is the primary and its applied log, which ends at [end], holds
     * everything that the server had received when it became primary.
     */
    fun isCurrent(server: GroupServer, end: LogPoint) = evidence.isCurrent(server, end)

    /**
     * Returns the smallest log point known to hold every write acknowledged before [since].
     * Requests a proof if none is cached, and waits for it as long as is of use to [demand].
     */
    suspend fun pointSince(
        since: ComparableTimeMark,
        demand: StatementDemand
    ): Either<Admission.Refuse, LogPoint> = proofs.pointSince(since, demand)

    /** As [pointSince] for a caller that waits [timeout]; null if there is no proof by then. */
    suspend fun pointSince(since: ComparableTimeMark, timeout: Duration): LogPoint? =
        pointSince(since, demandFor(timeout)).getOrNull()

    /**
     * Returns a proof from [since] or later for another instance, probing the servers if needed but
     * without asking other instances; null if there is none within [timeout].
     */
    suspend fun localProofSince(since: ComparableTimeMark, timeout: Duration): LeadershipProof? =
        proofs.localProofSince(since, timeout)

    /**
     * Returns the primary, searching for it if it is not known for as long as is of use to
     * [demand].
     */
    suspend fun awaitLeader(demand: StatementDemand): Either<Admission.Refuse, GroupServer> =
        proofs.awaitLeader(demand)

    /** As [awaitLeader] for a caller that waits [timeout]; null if none is found by then. */
    suspend fun awaitLeader(timeout: Duration): GroupServer? =
        awaitLeader(demandFor(timeout)).getOrNull()

    /** Probes the servers; returns true if one proved to be the primary. */
    suspend fun probeLeader(): Boolean = probe.run()

    /** Returns the servers for a read that requires [point], the preferred one first. */
    fun readers(point: LogPoint): List<GroupServer> = readerChoice.readers(point)

    /** Takes in what another instance saw of the servers' load. */
    internal fun receiveLoad(report: LoadReport) = loadExchange.receive(report)

    /** Returns what is known of the servers' load, for another instance. */
    internal fun loadViews(): List<ServerView> = loadExchange.views()

    /** Returns the registered server named [name], or null. */
    internal fun serverNamed(name: BackendServerName): GroupServer? = byName[name]

    /** Calls [maintain] periodically until cancelled. */
    suspend fun run() {
        while (true) {
            maintain()
            delay(MAINTENANCE_PERIOD)
        }
    }

    /**
     * Starts a request for new evidence if it is due, and closes unused connections. A home
     * requests evidence before the current one is too old, other instances only after a failed
     * attempt. Requests continue in the background after this function returns.
     */
    fun maintain() {
        homeRoleSince = if (isHome) homeRoleSince ?: context.time.markNow() else null
        if (maintenance?.isActive != true && isProbeDue()) {
            maintenance = context.scope.launch {
                if (isHome) {
                    probe.run()
                } else {
                    proofs.find(
                        context.time.markNow() - PROBE_EVIDENCE_AGE
                    )
                }
            }
        }
        loadExchange.maintain()
        readerChoice.refreshSkippedPositions()
        pauseCheck.poll()
        servers.forEach { it.trim() }
    }

    private fun isProbeDue(): Boolean {
        if (!isHome) return evidence.isProofMissing
        val age = newestEvidence?.since?.elapsedNow()
        return age == null || age >= PROBE_EVIDENCE_AGE
    }

    /** Removes all servers and closes the connections to them. */
    fun close() = servers.toList().forEach(::remove)

    /** A demand with the whole [timeout] to wait for a first proof. */
    private fun demandFor(timeout: Duration) = context.time.markNow().let {
        StatementDemand(it, it + timeout, timeout * PARTS_OF_GOAL, priority = 0)
    }

    private fun add(member: GroupMember) {
        val pool = LinkPool(
            scope = context.scope,
            time = context.time,
            budget = ::linkBudget,
            answerTime = { byName[member.name]?.answerTime ?: Duration.ZERO },
            random = context.random,
            open = { open(member.name, it) }
        )
        byName[member.name] =
            GroupServer(
                member,
                pool,
                context.time,
                evidence.evidenceStore,
                context.fleet.zone,
                loadExchange.load.takeIf { context.learnsServerLimits }
            )
        context.log.record(
            "server_added",
            "service" to service,
            "server" to member.name,
            "address" to member.address,
            "zone" to member.zone,
            "role" to member.role
        )
    }

    private fun linkBudget() = context.fleet.linkBudget(service, settings.maxConnections)

    private suspend fun open(
        name: BackendServerName,
        workspace: WorkspaceName?
    ): Either<OpenError, PooledLink> {
        val member = byName[name]?.member ?: return OpenError.Unreachable("$name is gone").left()
        return context.connector.open(service, member, workspace)
            .onLeft { if (it is OpenError.TooMany) recordFull(name, workspace) }
            .map { PooledLink(member, it, context.time, workspace) }
    }

    /** Logs that a server refused a connection because it was full, unless it did just before. */
    private fun recordFull(name: BackendServerName, workspace: WorkspaceName?) {
        val recordedAt = fullRecordedAt[name]
        if (recordedAt != null && recordedAt.elapsedNow() < FULL_LOG_PERIOD) return
        fullRecordedAt[name] = context.time.markNow()
        val held = byName[name]?.connectionsByWorkspace.orEmpty()
        context.log.record(
            "server_full",
            "service" to service,
            "server" to name,
            "workspace" to workspace,
            "connections" to held.values.sum(),
            "workspaces" to held.keys.count { it != null }
        )
    }

    private fun remove(server: GroupServer) {
        byName.remove(server.name)
        fullRecordedAt.remove(server.name)
        evidence.forget(server)
        server.close()
        context.log.record("server_removed", "service" to service, "server" to server.name)
    }

    private companion object {
        /** Age up to which a proof shows that the primary is reachable from this instance. */
        val EVIDENCE_RECENCY = 2_000.milliseconds

        /** Minimum time between log lines on the same full server. */
        val FULL_LOG_PERIOD = 5_000.milliseconds

        /** Time without a proof after which a group may count as silent: two lost probes. */
        val SILENCE_TIMEOUT = 900.milliseconds
    }
}
