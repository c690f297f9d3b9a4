package org.yuccawind.core.read

import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource
import org.yuccawind.core.evidence.Certificate
import org.yuccawind.core.evidence.EvidenceStore
import org.yuccawind.core.evidence.Observation
import org.yuccawind.core.evidence.ProbeRound
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServerRole
import org.yuccawind.core.model.ServerStatus

private const val SERVERS = 3
private const val MAJORITY = 2

/** A group of three servers whose logs are lists of terms; the test drives every step. */
internal class GroupModel(private val random: Random) {
    val time = TestTimeSource()
    private val logs = List(SERVERS) { ArrayList<Long>() }
    private val fences = LongArray(SERVERS)
    private val leaderTerms = LongArray(SERVERS)
    private val unacknowledged = ArrayList<LogPoint>()
    private var term = 0L

    /** The acknowledged writes, in order of acknowledgement. */
    val acknowledged = ArrayList<Acknowledged>()

    fun end(server: Int) =
        if (logs[server].isEmpty()) LogPoint.ZERO else LogPoint(logs[server].last(), size(server))

    fun holds(server: Int, point: LogPoint) =
        size(server) >= point.position && logs[server][point.position.toInt() - 1] == point.term

    fun status(server: Int): ServerStatus {
        val isPrimary = leaderTerms[server] == fences[server] && leaderTerms[server] > 0
        val role = if (isPrimary) ServerRole.PRIMARY else ServerRole.REPLICA
        return ServerStatus(fences[server], end(server), role)
    }

    /** Writes to a random primary, which may have been replaced without noticing. */
    fun write() {
        val primary = primaries().randomOrNull(random) ?: return
        logs[primary] += leaderTerms[primary]
        unacknowledged += end(primary)
    }

    fun replicate() {
        val primary = primaries().randomOrNull(random) ?: return
        val replica = (0 until SERVERS).filter { it != primary }.random(random)
        if (leaderTerms[primary] < fences[replica]) return
        fences[replica] = leaderTerms[primary]
        val shared = logs[primary].zip(logs[replica]).takeWhile { (a, b) -> a == b }.size
        while (logs[replica].size > shared) logs[replica].removeLast()
        logs[replica] += logs[primary].drop(shared).take(random.nextInt(1, 3))
    }

    /** Acknowledges the writes that a majority holds under the fence of their term. */
    fun acknowledge() {
        val durable = unacknowledged.filter { point ->
            (0 until SERVERS).count {
                fences[it] == point.term && end(it).term == point.term && holds(it, point)
            } >= MAJORITY
        }
        unacknowledged -= durable.toSet()
        durable.forEach { acknowledged += Acknowledged(it, time.markNow()) }
    }

    /** Promotes a new primary; the previous one may not be fenced. */
    fun promote() {
        term++
        val fencedServers = (0 until SERVERS).shuffled(random).take(MAJORITY)
        fencedServers.forEach { fences[it] = term }
        val next = fencedServers.maxBy(::end)
        leaderTerms[next] = term
        logs[next] += term
    }

    private fun primaries() = (0 until SERVERS).filter {
        status(it).role == ServerRole.PRIMARY
    }

    private fun size(server: Int) = logs[server].size.toLong()

    /** An acknowledged write. */
    data class Acknowledged(val point: LogPoint, val at: ComparableTimeMark)
}

/** The rules that prevent stale reads; each broken variant overrides one of them. */
internal open class ReadRules {
    open val majority = MAJORITY

    open fun certificate(round: ProbeRound, endedAt: ComparableTimeMark): Certificate? =
        round.certificate(majority)

    open fun accepts(request: ReadRequest, evidence: EvidenceStore, end: LogPoint) =
        ReadBounds(request, evidence).accepts(end, evidence.ageOf(end))
}

/** One instance: its evidence and its current round of probes. */
internal class InstanceModel(private val group: GroupModel, private val rules: ReadRules) {
    val evidence = EvidenceStore(rules.majority, group.time)
    private var round = ProbeRound(group.time.markNow(), emptyMap())

    fun startRound() {
        round = ProbeRound(group.time.markNow(), emptyMap())
    }

    fun probe(server: Int) {
        val name = BackendServerName("db-$server")
        val status = group.status(server)
        round = round.copy(answers = round.answers + (name to status))
        val now = group.time.markNow()
        evidence.observe(Observation(name, status, round.startedAt, now))
        rules.certificate(round, now)?.let(evidence::addCertificate)
    }

    fun advanceTime() {
        group.time += 7.milliseconds
    }
}
