package org.yuccawind.bench.history

import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.yuccawind.bench.client.CallerClient
import org.yuccawind.bench.client.CallerReply
import org.yuccawind.bench.cluster.Cluster
import org.yuccawind.bench.cluster.ClusterSpec
import org.yuccawind.bench.cluster.ServiceSpec
import org.yuccawind.core.config.Acknowledge
import org.yuccawind.core.result.Outcome
import org.yuccawind.core.result.ResultCode
import org.yuccawind.proxy.caller.ReadBody
import org.yuccawind.standins.cli.CommandLine

private const val SERVICE = "match-pairing"
private const val NAIVE = "naive"
private val ZONES = listOf("ch-mitte-a", "ch-mitte-b", "ch-mitte-c")
private val FINAL_READ_TIMEOUT = 60.seconds
private val FINAL_READ_INTERVAL = 200.milliseconds
private const val MAX_SHOWN_VIOLATIONS = 5

/** Runs concurrent sessions against a cluster with random faults and checks their history. */
internal class HistoryBench(args: Array<String>) {
    private val parser = ArgParser("yuccawind-bench history")
    private val seed by parser.option(ArgType.Int, description = "seed of faults and callers")
        .default(1)
    private val seconds by parser.option(ArgType.Int, description = "run time in seconds")
        .default(60)
    private val variant by parser
        .option(
            ArgType.Choice(listOf("full", NAIVE), { it }),
            description = "full, or naive without majority acknowledgement and safe retries"
        )
        .default("full")
    private val sessions by parser.option(ArgType.Int, description = "concurrent sessions")
        .default(24)
    private val keyCount by parser
        .option(ArgType.Int, "keys", description = "number of shared keys")
        .default(64)
    private val keepLogs by parser
        .option(ArgType.Boolean, "keep-logs", description = "keep the output of the processes")
        .default(false)
    private val keys by lazy { List(keyCount) { "k$it" } }
    private val isNaive get() = variant == NAIVE

    init {
        CommandLine("yuccawind-bench history").parse(parser, args)
    }

    /** Performs the run and returns the exit code: 0 if no violation was found, else 1. */
    fun run(): Int = Cluster(spec()).use { cluster ->
        cluster.keepLogs = keepLogs
        if (keepLogs) println("logs=${cluster.logDirectory}")
        runBlocking { run(cluster) }
    }

    private fun spec(): ClusterSpec {
        val acknowledge = if (isNaive) Acknowledge.PRIMARY else Acknowledge.MAJORITY
        val service = ServiceSpec(SERVICE, acknowledge = acknowledge)
        return ClusterSpec(ZONES, ZONES.size, listOf(service), isDurable = true, seed = seed)
    }

    private suspend fun run(cluster: Cluster): Int {
        cluster.start()
        val operations = ConcurrentLinkedQueue<Operation>()
        val faults = RandomFaults(cluster, seed) { lastKnownPrimary(operations) }
        runCallers(cluster, faults, operations)
        val finalState = readFinalState(cluster) ?: return reportUnreadableState()
        val violations = HistoryChecker.check(History(operations.toList(), finalState))
        return report(operations.toList(), faults.count, violations)
    }

    private fun lastKnownPrimary(operations: Collection<Operation>): String? =
        operations.filterIsInstance<Operation.Write>().lastOrNull { it.server != null }?.server

    private suspend fun runCallers(
        cluster: Cluster,
        faults: RandomFaults,
        operations: ConcurrentLinkedQueue<Operation>
    ) {
        val start = TimeSource.Monotonic.markNow()
        val end = start + seconds.seconds
        val clients = cluster.instances.map { CallerClient(it.callerAddress) }
        coroutineScope {
            val callers = List(sessions) { session ->
                val caller = HistoryCaller(
                    session,
                    SERVICE,
                    keys,
                    clients,
                    isNaive,
                    seed * sessions + session
                )
                launch { caller.run(start, end, operations) }
            }
            faults.run(end)
            callers.joinAll()
        }
    }

    private suspend fun readFinalState(cluster: Cluster): Map<String, List<String>>? {
        val clients = cluster.instances.map { CallerClient(it.callerAddress) }
        val end = TimeSource.Monotonic.markNow() + FINAL_READ_TIMEOUT
        val state = HashMap<String, List<String>>()
        while (state.size < keys.size && end.hasNotPassedNow()) {
            for (key in keys - state.keys) {
                readCurrent(clients.random(), key)?.let {
                    state[key] = it
                }
            }
            delay(FINAL_READ_INTERVAL)
        }
        return state.takeIf { it.size == keys.size }
    }

    private suspend fun readCurrent(client: CallerClient, key: String): List<String>? {
        val reply = client.read(SERVICE, ReadBody("get $key", "current"))
        val answer = (reply as? CallerReply.Answered)?.answer ?: return null
        if (answer.code != ResultCode.OK.number) return null
        return answer.rows.firstOrNull()?.split(',').orEmpty()
    }

    private fun reportUnreadableState(): Int {
        println("history=failed reason=final_state_not_readable")
        return 1
    }

    private fun report(operations: List<Operation>, faults: Int, violations: List<Violation>): Int {
        val writes = operations.filterIsInstance<Operation.Write>()
        writes.groupingBy { it.code }.eachCount().toSortedMap().forEach { (code, count) ->
            println("writes code=$code count=$count")
        }
        for (violation in violations.take(MAX_SHOWN_VIOLATIONS)) printViolation(violation)
        val unknown = writes.count { it.outcome == Outcome.UNKNOWN }
        println(
            "violations=${violations.size} operations=${operations.size} faults=$faults " +
                "unknown=$unknown"
        )
        return if (violations.isEmpty()) 0 else 1
    }

    private fun printViolation(violation: Violation) {
        val property = violation.property
        println(
            "violation=$property meaning=\"${property.meaning}\" detail=\"${violation.detail}\""
        )
        violation.trace.forEach { println("  $it") }
    }
}
