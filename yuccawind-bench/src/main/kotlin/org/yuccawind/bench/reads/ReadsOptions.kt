package org.yuccawind.bench.reads

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.yuccawind.standins.cli.CommandLine

/** Options of the read benchmark. */
internal class ReadsOptions(name: String, args: List<String>) {
    private val parser = ArgParser("yuccawind-bench $name")

    /** Random seed. */
    val seed by parser.option(ArgType.Int, description = "seed").default(1)

    /** Duration of each measured run in seconds. */
    val seconds by parser.option(ArgType.Int, description = "seconds per run").default(4)

    /** Number of concurrent sessions. */
    val sessions by parser.option(ArgType.Int, description = "concurrent sessions").default(60)

    /** Mean time between two requests of a session in milliseconds. */
    val pauseMs by parser
        .option(
            ArgType.Int,
            "pause-ms",
            description = "mean time between requests of a session in ms"
        )
        .default(150)

    /** Time that a statement occupies its slot in milliseconds. */
    val statementMs by parser
        .option(ArgType.Int, "statement-ms", description = "execution time of a statement in ms")
        .default(2)

    /** The only replication lag to measure, in milliseconds; 0 for 20, 100, 500 and 2,000. */
    val lagMs by parser
        .option(
            ArgType.Int,
            "lag-ms",
            description = "replication lag in ms; 0 for 20, 100, 500 and 2000"
        )
        .default(0)

    /** User whose deployment is measured, or `all`. */
    val user by parser
        .option(ArgType.String, description = "user deployment: federbruecke, pastas or all")
        .default("all")

    init {
        CommandLine("yuccawind-bench $name").parse(parser, args.toTypedArray())
    }
}
