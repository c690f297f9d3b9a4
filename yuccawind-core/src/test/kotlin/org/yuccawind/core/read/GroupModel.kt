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

/** A group of three servers whose logs are lists of terms; the test says what happens when. */
internal class GroupModel(private val random: Random) {
    val time = TestTimeSource()
    private val logs = List(SERVERS) { ArrayList<Long>() }
    private val fences = LongArray(SERVERS)
    private val leads = LongArray(SERVERS)
    private val unacknowledged = ArrayList<LogPoint>()
    private var term = 0L

    /** Every acknowledged write and when it was acknowledged, in order. */
    val acknowledged = ArrayList<Acknowledged>()

    fun end(server: Int) =
        if (logs[server].isEmpty()) LogPoint.ZERO else LogPoint(logs[server].last(), size(server))

    fun holds(server: Int, point: LogPoint) =
        size(server) >= point.position && logs[server][point.position.toInt() - 1] == point.term

    fun status(server: Int): ServerStatus {
        val isPrimary = leads[server] == fences[server] && leads[server] > 0
        val role = if (isPrimary) ServerRole.PRIMARY else ServerRole.REPLICA
        return ServerStatus(fences[server], end(server), role)
    }

    /** A write at some primary, perhaps one that was replaced without knowing it. */
    fun write() {
        val primary = primaries().randomOrNull(random) ?: return
        logs[primary] += leads[primary]
        unacknowledged += end(primary)
    }

    fun replicate() {
        val primary = primaries().randomOrNull(random) ?: return
        val replica = (0 until SERVERS).filter { it != primary }.random(random)
        if (leads[primary] < fences[replica]) return
        fences[replica] = leads[primary]
        val shared = logs[primary].zip(logs[replica]).takeWhile { (a, b) -> a == b }.size
        while (logs[replica].size > shared) logs[replica].removeLast()
        logs[replica] += logs[primary].drop(shared).take(random.nextInt(1, 3))
    }

    /** Acknowledges what a majority holds under one fence. */
    fun acknowledge() {
        val durable = unacknowledged.filter { point ->
            (0 until SERVERS).count {
                fences[it] == point.term && end(it).term == point.term && holds(it, point)
            } >= MAJORITY
        }
        unacknowledged -= durable.toSet()
        durable.forEach { acknowledged += Acknowledged(it, time.markNow()) }
    }

    /** A change of primary; the replaced one may not hear of it. */
    fun promote() {
        term++
        val fenced = (0 until SERVERS).shuffled(random).take(MAJORITY)
        fenced.forEach { fences[it] = term }
        val next = fenced.maxBy(::end)
        leads[next] = term
        logs[next] += term
    }

    private fun primaries() = (0 until SERVERS).filter {
        status(it).role == ServerRole.PRIMARY
    }

    private fun size(server: Int) = logs[server].size.toLong()

    /** A write that was acknowledged. */
    data class Acknowledged(val point: LogPoint, val at: ComparableTimeMark)
}

/** The rules that keep reads from being stale; a variant breaks one of them. */
internal open class ReadRules {
    open val majority = MAJORITY

    open fun certificate(round: ProbeRound, endedAt: ComparableTimeMark): Certificate? =
        round.certificate(majority)

    open fun accepts(request: ReadRequest, book: EvidenceStore, end: LogPoint) =
        ReadBounds(request, book).accepts(end, book.ageOf(end))
}

/** One instance: its evidence, and the round of probes that it has under way. */
internal class InstanceModel(private val group: GroupModel, private val rules: ReadRules) {
    val book = EvidenceStore(rules.majority, group.time)
    private var round = ProbeRound(group.time.markNow(), emptyMap())

    fun startRound() {
        round = ProbeRound(group.time.markNow(), emptyMap())
    }

    fun probe(server: Int) {
        val name = BackendServerName("db-$server")
        val status = group.status(server)
        round = round.copy(answers = round.answers + (name to status))
        val now = group.time.markNow()
        book.observe(Observation(name, status, round.startedAt, now))
        rules.certificate(round, now)?.let(book::addCertificate)
    }

    fun pass() {
        group.time += 7.milliseconds
    }
}
