package org.yuccawind.bench.slopes

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.multiple
import kotlinx.coroutines.runBlocking
import org.yuccawind.bench.result.Figure
import org.yuccawind.bench.result.ResultLog
import org.yuccawind.bench.result.RunResult
import org.yuccawind.standins.cli.CommandLine
import org.yuccawind.standins.cli.EXIT_FAILED
import org.yuccawind.standins.cli.EXIT_OK

/** Command that measures how the cost of control traffic grows with the cluster. */
internal class SlopesCommand {
    /** Runs the benchmark, saves and prints its result, and returns the exit code. */
    fun run(args: Array<String>): Int {
        val parser = ArgParser("yuccawind-bench slopes")
        val seconds by parser
            .option(ArgType.Int, description = "measured time at each size in seconds")
            .default(10)
        val settle by parser
            .option(
                ArgType.Int,
                description = "settle time before each measurement in seconds"
            )
            .default(10)
        val along by parser
            .option(ArgType.Choice<Slope>(), description = "dimension to measure; all by default")
            .multiple()
        val commandLine = CommandLine("yuccawind-bench")
        commandLine.parse(parser, args)
        if (seconds < 1) commandLine.refuse("seconds", seconds, "1 or more")
        val slopes = along.ifEmpty { Slope.entries }
        return try {
            ResultLog().save(runBlocking { measure(slopes, settle.seconds, seconds.seconds) })
            EXIT_OK
        } catch (e: IllegalStateException) {
            println("slopes=failed detail=\"${e.message}\"")
            EXIT_FAILED
        }
    }

    private suspend fun measure(
        slopes: List<Slope>,
        settleTime: Duration,
        duration: Duration
    ): RunResult {
        val sizes = slopes.flatMap { listOf(it.start, it.end) }.distinct()
        val costs = sizes.associateWith { IdleFleet(it).measure(settleTime, duration) }
        val pointFigures = costs.flatMap { (size, cost) -> cost.figures("$size") }
        val slopeFigures = slopes.filter { it != Slope.TODAY }.flatMap { slope ->
            costs.getValue(slope.end).slopeFrom(costs.getValue(slope.start), slope.units)
                .figures("per_${slope.name.lowercase()}")
        }
        val parameters = listOf(
            Figure("seconds", duration.inWholeSeconds.toDouble()),
            Figure("settle", settleTime.inWholeSeconds.toDouble())
        )
        return RunResult("slopes", 0, parameters, pointFigures + slopeFigures)
    }
}
