package org.yuccawind.bench.throughput

import kotlin.time.Duration.Companion.seconds
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import org.yuccawind.bench.result.ResultLog
import org.yuccawind.standins.cli.CommandLine
import org.yuccawind.standins.cli.EXIT_FAILED
import org.yuccawind.standins.cli.EXIT_OK

/** Command line of the throughput benchmark. */
internal class ThroughputCommand {
    /** Runs the benchmark, saves and prints its result, and returns the exit code. */
    fun run(args: Array<String>): Int {
        val parser = ArgParser("yuccawind-bench throughput")
        val seconds by parser.option(ArgType.Int, description = "total measured time in seconds")
            .default(20)
        val rate by parser
            .option(ArgType.Int, description = "statements per second at a fixed rate")
            .default(10_000)
        val workers by parser.option(ArgType.Int, description = "concurrent statements").default(64)
        val cores by parser
            .option(ArgType.Int, description = "cores available to the proxy")
            .default(2)
        val commandLine = CommandLine("yuccawind-bench")
        commandLine.parse(parser, args)
        if (seconds < 1) commandLine.refuse("seconds", seconds, "1 or more")
        if (rate < 1) commandLine.refuse("rate", rate, "1 or more")
        if (workers < 1) commandLine.refuse("workers", workers, "1 or more")
        val parameters = ThroughputParameters(seconds.seconds, rate, workers, cores)
        return try {
            ResultLog().save(runBlocking { Throughput(parameters).run() })
            EXIT_OK
        } catch (e: IllegalStateException) {
            println("throughput=failed detail=\"${e.message}\"")
            EXIT_FAILED
        }
    }
}
