package org.yuccawind.bench.overload

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.yuccawind.standins.cli.CommandLine

/** Options of the overload benchmark. */
internal class OverloadOptions(args: List<String>) {
    private val parser = ArgParser("yuccawind-bench overload")

    /** Random seed. */
    val seed by parser.option(ArgType.Int, description = "seed").default(1)

    /** Duration of each load step in seconds. */
    val seconds by parser.option(ArgType.Int, description = "seconds per step").default(5)

    /** Time that a statement occupies its slot in milliseconds. */
    val statementMs by parser
        .option(ArgType.Int, "statement-ms", description = "execution time of a statement in ms")
        .default(20)

    init {
        CommandLine("yuccawind-bench overload").parse(parser, args.toTypedArray())
    }
}
