package org.yuccawind.bench

import kotlin.system.exitProcess
import org.yuccawind.bench.config.ConfigBench
import org.yuccawind.bench.demo.Demo
import org.yuccawind.bench.failover.FailoverBench
import org.yuccawind.bench.history.HistoryBench
import org.yuccawind.bench.overload.OverloadBench
import org.yuccawind.bench.reads.ReadsBench
import org.yuccawind.bench.report.ReportCommand
import org.yuccawind.bench.slopes.SlopesCommand
import org.yuccawind.bench.throughput.ThroughputCommand

private const val EXIT_USAGE = 2

private val COMMANDS = listOf(
    BenchCommand("config", "--seed N") { ConfigBench().run(it.toList()) },
    BenchCommand("demo", "") { Demo().run() },
    BenchCommand(
        "failover",
        "--seed N --fault kill|partition|freeze|leave|platform-down-too|none"
    ) { FailoverBench(it).run() },
    BenchCommand("history", "--seed N --seconds S [--variant naive]") { HistoryBench(it).run() },
    BenchCommand("overload", "--seed N [--seconds S]") { OverloadBench(it.toList()).run() },
    BenchCommand("reads", "--seed N [--user NAME] [--lag-ms N] [--seconds S]") {
        ReadsBench(it.toList()).run()
    },
    BenchCommand("report", "[--output FILE]") { ReportCommand().run(it) },
    BenchCommand(
        "slopes",
        "[--seconds S] [--settle S] [--along services|peers|databases|today]"
    ) { SlopesCommand().run(it) },
    BenchCommand(
        "throughput",
        "[--seconds S] [--rate PER-SECOND] [--workers N] [--cores N]"
    ) { ThroughputCommand().run(it) }
)

/** Entry point of the benchmark program: runs a demonstration or measurement on real processes. */
fun main(args: Array<String>) {
    val command = COMMANDS.find { it.name == args.firstOrNull() }
    val code = when {
        command != null -> command.run(args.drop(1).toTypedArray())
        args.firstOrNull() == "--help" -> 0.also { println(usage()) }
        args.firstOrNull() == "--version" -> 0.also { println("yuccawind-bench ${version()}") }
        else -> EXIT_USAGE.also { System.err.println(usage()) }
    }
    exitProcess(code)
}

private fun usage() = COMMANDS.joinToString("\n", "usage:\n") {
    "  yuccawind-bench ${it.name} ${it.options}".trimEnd()
} + "\n  yuccawind-bench --help | --version"

private fun version() = Demo::class.java.`package`.implementationVersion ?: "development"
