package org.yuccawind.cli

import kotlin.system.exitProcess
import kotlinx.coroutines.runBlocking
import org.yuccawind.config.Deployment

private val COMMANDS = ConfigCommands.ALL + ServiceCommands.ALL
private val COMMON_HELP = """
    Common options:
      --address IP:PORT   administration interface of an instance
      --key-file FILE     file that contains the operator key
      --settings FILE     YAML file with address and operatorKey; YUCCAWIND_SETTINGS by default
      --output table|json
""".trimIndent()

/** Entry point of the command-line tool for operators. */
fun main(args: Array<String>) {
    exitProcess(run(args.toList()).number)
}

/** Runs the command that [args] select and returns its exit code. */
internal fun run(args: List<String>): ExitCode = try {
    val arguments = Arguments.parse(args)
    when {
        arguments.flag("version") -> println("yuccawind ${version()}")
        arguments.flag("help") -> println(help())
        else -> runBlocking { runCommand(arguments) }
    }
    ExitCode.OK
} catch (e: CommandFailure) {
    System.err.println("yuccawind: ${e.message}")
    e.code
}

private suspend fun runCommand(arguments: Arguments) {
    val command =
        COMMANDS.find { it.matches(arguments.words) }
            ?: failUsage("see\n${help()}")
    arguments.allowOnly(command.options + Command.COMMON)
    command.run(Invocation(arguments.words.drop(command.verb.size), arguments))
}

private fun help(): String {
    val rows = COMMANDS.map { listOf("  yuccawind ${it.usage}", it.summary) }
    return (listOf("Usage:") + Output.table(listOf("", ""), rows).drop(1) + COMMON_HELP)
        .joinToString("\n")
}

private fun version() = Deployment::class.java.`package`.implementationVersion ?: "development"
