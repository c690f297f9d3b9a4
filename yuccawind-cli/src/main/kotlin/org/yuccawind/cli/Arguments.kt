package org.yuccawind.cli

/**
 * The parsed arguments of one command.
 *
 * @property words command words and operands, in order
 * @property options values by name without dashes; the value of a flag is empty
 */
internal class Arguments private constructor(
    val words: List<String>,
    private val options: Map<String, String>
) {
    /** Returns the value of the option [name], or null when it is not set. */
    fun option(name: String): String? = options[name]

    /** Returns whether the flag [name] is set. */
    fun flag(name: String) = name in options

    /** Fails with a usage error when an option is not in [allowed]. */
    fun allowOnly(allowed: Set<String>) {
        val unknown = options.keys - allowed
        if (unknown.isNotEmpty()) failUsage("unknown option --${unknown.first()}; see --help")
    }

    companion object {
        private val FLAGS = setOf("wait", "delete", "help", "version")

        /** Parses `--name value`, `--name=value` and flags, in any order with the words. */
        fun parse(args: List<String>): Arguments {
            val words = ArrayList<String>()
            val options = LinkedHashMap<String, String>()
            val remaining = ArrayDeque(args)
            while (remaining.isNotEmpty()) {
                val argument = remaining.removeFirst()
                if (!argument.startsWith("--")) {
                    words += argument
                    continue
                }
                val name = argument.removePrefix("--").substringBefore('=')
                options[name] = when {
                    name in FLAGS -> ""

                    '=' in argument -> argument.substringAfter('=')

                    else -> remaining.removeFirstOrNull()
                        ?: failUsage("--$name: a value is missing")
                }
            }
            return Arguments(words, options)
        }
    }
}
