package org.yuccawind.standins.scenario

import arrow.core.Either
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.testTimeSource
import kotlinx.serialization.json.Json
import org.yuccawind.core.failover.Promotion
import org.yuccawind.core.failover.PromotionGroup
import org.yuccawind.core.failover.PromotionPhase
import org.yuccawind.core.failover.TermRecords
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServerStatus
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.port.BackendError
import org.yuccawind.core.port.BackendServer
import org.yuccawind.core.port.Command
import org.yuccawind.core.port.DecisionLog
import org.yuccawind.core.wire.BackendCall
import org.yuccawind.core.wire.BackendReply
import org.yuccawind.standins.database.DatabaseFaults
import org.yuccawind.standins.database.DatabaseNode
import org.yuccawind.standins.database.DatabaseSettings
import org.yuccawind.standins.database.FakeBackendServer
import org.yuccawind.standins.database.ReplicaLink
import org.yuccawind.standins.platform.FakePlatform
import org.yuccawind.standins.platform.PlatformModel

private val ZONE = AvailabilityZone("p")
private val REPLICATION_WAIT = 60.milliseconds
private const val MAJORITY = 2

/** A database group without instances; tests run promoters on it step by step. */
@OptIn(ExperimentalCoroutinesApi::class)
class PromotionTestGroup(test: TestScope) {
    private val time = test.testTimeSource
    private val zones = listOf("a", "b", "c")
    private val service = ServiceName("pairing")
    private val written = LinkedHashMap<String, LogPoint>()
    val platform = PlatformModel(time)
    val nodes = List(zones.size) { DatabaseNode(DatabaseSettings(), time) }
    val names = nodes.indices.map { BackendServerName("db-${it + 1}") }

    /** Promoted servers by term. */
    val promoted = HashMap<Long, MutableSet<BackendServerName>>()

    /** Writes that a majority of the servers has reported. */
    val acknowledged = LinkedHashSet<String>()

    val servers: Map<BackendServerName, BackendServer> = names
        .mapIndexed { index, name -> RecordingServer(FakeBackendServer(name, nodes[index], ZONE)) }
        .associateBy { it.name }

    init {
        for (from in nodes.indices) {
            val links = nodes.indices.filter { it != from }.map { link(from, it) }
            test.backgroundScope.launch { nodes[from].replicateTo(links) }
        }
    }

    fun terms(promoter: String) =
        TermRecords(service, InstanceId(promoter), FakePlatform(platform, ZONE), Json)

    fun promoter(
        name: String,
        knownTerm: Long? = null,
        members: Map<BackendServerName, BackendServer> = servers,
        supersedableVersion: Long? = null
    ): Promotion {
        val group = PromotionGroup(members, MAJORITY)
        return Promotion(terms(name), group, DecisionLog.NONE, knownTerm, supersedableVersion)
    }

    /** Completes a promotion, superseding another promoter's unfinished attempt if there is one. */
    suspend fun promote(name: String = "x", knownTerm: Long? = null): PromotionPhase.Done {
        val first = promoter(name, knownTerm).run()
        if (first is PromotionPhase.Done) return first
        val seen = (first as PromotionPhase.Abandoned).inProgress
        return promoter(name, knownTerm, supersedableVersion = seen).run() as PromotionPhase.Done
    }

    /** Writes once on every server that considers itself the primary. */
    suspend fun writeEverywhere() {
        for ((index, node) in nodes.withIndex()) {
            if (node.status().isPrimary) write(index, node.status().fence)
        }
        recordAcknowledged()
    }

    suspend fun write(index: Int, term: Long) {
        val value = "w${written.size}"
        val opened = nodes[index].open() as BackendReply.Opened
        val call = BackendCall(1, Command.Apply(term, listOf("append k $value")))
        val reply = nodes[index].execute(opened.connection, call)
        nodes[index].close(opened.connection)
        if (reply is BackendReply.Answered) written[value] = reply.answer.end
    }

    /** Records the writes that are acknowledged by a majority. */
    fun recordAcknowledged() {
        val statuses = nodes.map { it.status() }
        for ((value, point) in written) {
            if (statuses.count { holds(it, point) } >= MAJORITY) acknowledged += value
        }
    }

    /** Waits for replication and records acknowledged writes meanwhile. */
    suspend fun awaitReplication() {
        repeat(3) {
            delay(REPLICATION_WAIT)
            recordAcknowledged()
        }
    }

    /** Ends all cuts after a final promotion and returns the violation found, or null. */
    suspend fun violation(): String? {
        awaitReplication()
        val done = promote("judge")
        nodes.forEach { it.inject(DatabaseFaults()) }
        awaitReplication()
        val log = read(names.indexOf(done.primary))
        val doubleTerm = promoted.entries.find { it.value.size > 1 }
        val lost = acknowledged - log.toSet()
        return when {
            doubleTerm != null -> "term ${doubleTerm.key} led by ${doubleTerm.value}"
            lost.isNotEmpty() -> "lost $lost"
            log.size != log.toSet().size -> "doubled in $log"
            nodes.indices.any { read(it) != log } -> "servers differ"
            else -> null
        }
    }

    private suspend fun read(index: Int): List<String> {
        val opened = nodes[index].open() as BackendReply.Opened
        val reply = nodes[index].execute(
            opened.connection,
            BackendCall(1, Command.Query("get k"))
        )
        nodes[index].close(opened.connection)
        return (reply as BackendReply.Answered).answer.rows.flatMap { it.split(',') }
    }

    private fun holds(status: ServerStatus, point: LogPoint) =
        status.fence == point.term && status.end.term == point.term && status.end >= point

    private fun link(from: Int, to: Int) = ReplicaLink { call ->
        nodes[to].awaitDelivery(zones[from])
        nodes[from].awaitDelivery(zones[to])
        nodes[to].replicate(call)
    }

    private inner class RecordingServer(private val server: BackendServer) :
        BackendServer by server {
        override suspend fun promote(term: Long): Either<BackendError, ServerStatus> =
            server.promote(term).onRight { promoted.getOrPut(term, ::HashSet) += name }
    }
}
