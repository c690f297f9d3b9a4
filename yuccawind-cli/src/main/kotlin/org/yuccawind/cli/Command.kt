package org.yuccawind.cli

/**
 * A command of the tool.
 *
 * @property verb the words that select it, for example `config apply`
 * @property operands names of the operands that follow
 * @property options options that it accepts in addition to [COMMON]
 * @property summary its line in the help text
 * @property run runs it
 */
internal class Command(
    val verb: List<String>,
    val operands: List<String> = emptyList(),
    val options: Set<String> = emptySet(),
    val summary: String,
    val run: suspend (Invocation) -> Unit
) {
    /** Its syntax in the help text. */
    val usage: String
        get() = (verb + operands + options.map { OPTION_SYNTAX[it] ?: "--$it" }).joinToString(" ")

    /** Returns whether [words] select this command with the right number of operands. */
    fun matches(words: List<String>) =
        words.take(verb.size) == verb && words.size == verb.size + operands.size

    companion object {
        /** Options that every command accepts. */
        val COMMON = setOf("address", "key-file", "settings", "output")

        private val OPTION_SYNTAX = mapOf(
            "revision" to "[--revision N]",
            "wait" to "[--wait]",
            "delete" to "[--delete]",
            "author" to "[--author NAME]",
            "to" to "--to DATABASE"
        )
    }
}

/**
 * An invocation of a command.
 *
 * @property operands operands after the words that select the command
 * @property arguments all arguments, options included
 */
internal class Invocation(val operands: List<String>, val arguments: Arguments) {
    /** Prints the results. */
    val output = Output(
        when (val format = arguments.option("output")) {
            null, "table" -> false
            "json" -> true
            else -> failUsage("--output: found '$format', allowed table, json")
        }
    )

    /** Client of the instance that the options or the settings file select. */
    val admin by lazy { AdminClient(CliSettings.of(arguments)) }
}
