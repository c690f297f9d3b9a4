package org.yuccawind.standins.cli

import kotlin.system.exitProcess
import kotlinx.cli.ArgParser

/** Exit code of a successful run. */
const val EXIT_OK = 0

/** Exit code of a failed run. */
const val EXIT_FAILED = 1

/** Exit code of a usage error; nothing was run. */
const val EXIT_USAGE = 2

/**
 * The command line of one program.
 *
 * @property program name of the command
 */
class CommandLine(private val program: String) {
    /** Parses [args] with [parser]; `--help`, `--version` and invalid options exit the process. */
    fun parse(parser: ArgParser, args: Array<String>) {
        if ("--version" in args) {
            println("$program ${version()}")
            exitProcess(EXIT_OK)
        }
        if ("--help" in args || "-h" in args) {
            parser.parse(arrayOf("--help"))
        }
        parseOrExit(parser, args)
    }

    /** Exits with a usage error because the value of option [name] is not [allowed]. */
    fun refuse(name: String, found: Any, allowed: String): Nothing {
        System.err.println("$program: --$name: found $found, allowed $allowed")
        exitProcess(EXIT_USAGE)
    }

    /**
     * Prints usage errors to standard error and exits with [EXIT_USAGE]. On its own, kotlinx-cli
     * prints them to standard output and exits with 127.
     */
    private fun parseOrExit(parser: ArgParser, args: Array<String>) {
        val runtime = Runtime.getRuntime()
        val exitCodeHook = Thread { runtime.halt(EXIT_USAGE) }
        val output = System.out
        runtime.addShutdownHook(exitCodeHook)
        System.setOut(System.err)
        parser.parse(args)
        System.setOut(output)
        runtime.removeShutdownHook(exitCodeHook)
    }

    private fun version() = CommandLine::class.java.`package`.implementationVersion ?: "development"
}
