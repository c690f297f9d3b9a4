package org.yuccawind.bench.failover

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import org.yuccawind.bench.cluster.Cluster
import org.yuccawind.bench.cluster.ClusterSpec
import org.yuccawind.bench.cluster.ServiceSpec
import org.yuccawind.standins.cli.CommandLine
import org.yuccawind.standins.network.LinkSettings

private const val SERVICE = "match-pairing"
private val ZONES = listOf("ch-mitte-a", "ch-mitte-b", "ch-mitte-c")
private const val GAP_LIMIT_MS = 15_000L

/** Measures the longest gap between acknowledged writes when the primary fails. */
internal class FailoverBench(args: Array<String>) {
    private val parser = ArgParser("yuccawind-bench failover")
    private val seed by parser.option(ArgType.Int, description = "random seed of the links")
        .default(1)
    private val faultName by parser
        .option(
            ArgType.Choice(Fault.entries.map { it.option }, { it }),
            "fault",
            description = "fault to inject at the primary"
        )
        .default(Fault.KILL.option)
    private val runs by parser.option(ArgType.Int, description = "runs, each on a new cluster")
        .default(1)
    private val instances by parser.option(ArgType.Int, description = "entry instances").default(3)
    private val linkMs by parser
        .option(ArgType.Int, "link-ms", description = "one-way delay between zones in ms")
        .default(3)
    private val variation by parser
        .option(ArgType.Double, description = "maximum delay as a multiple of link-ms")
        .default(3.0)
    private val loss by parser
        .option(ArgType.Double, description = "share of lost messages, 0 to 1")
        .default(0.02)
    private val minutes by parser
        .option(ArgType.Double, description = "run time in minutes with --fault none")
        .default(1.0)
    private val keepLogs by parser
        .option(ArgType.Boolean, "keep-logs", description = "keep the output of the processes")
        .default(false)

    init {
        CommandLine("yuccawind-bench failover").parse(parser, args)
    }

    /**
     * Performs all runs and returns the exit code: 0 if each has a gap below 15 s, no lost or
     * duplicate write, no refused write that ran and no unnecessary promotion.
     */
    fun run(): Int {
        val fault = Fault.entries.first { it.option == faultName }
        val results = List(runs) { index ->
            runOnce(fault, seed + index).also {
                println("run=${index + 1} seed=${seed + index} $it")
            }
        }
        println(summary(results))
        return if (results.all(::meetsLimits)) 0 else 1
    }

    private fun runOnce(fault: Fault, runSeed: Int): FailoverResult {
        val spec = ClusterSpec(
            ZONES,
            instances,
            listOf(ServiceSpec(SERVICE)),
            decisionLog = keepLogs,
            link = LinkSettings(linkMs.milliseconds, variation, loss),
            seed = runSeed
        )
        return Cluster(spec).use { cluster ->
            cluster.keepLogs = keepLogs
            if (keepLogs) println("logs=${cluster.logDirectory}")
            runBlocking { FailoverRun(cluster, SERVICE, fault, faultFreeTime()).run() }
        }
    }

    private fun faultFreeTime(): Duration = 1.minutes * minutes

    private fun meetsLimits(result: FailoverResult) = result.gapMs < GAP_LIMIT_MS &&
        result.lost == 0 &&
        result.doubled == 0 &&
        result.falsePromotions <= 0

    private fun summary(results: List<FailoverResult>): String {
        val gaps = results.map { it.gapMs }.sorted()
        return "gap_p50_ms=${gaps[(gaps.size - 1) / 2]} gap_max_ms=${gaps.last()} " +
            "lost=${results.sumOf { it.lost }} doubled=${results.sumOf { it.doubled }} " +
            "false_promotions=${results.sumOf { it.falsePromotions }}"
    }
}
