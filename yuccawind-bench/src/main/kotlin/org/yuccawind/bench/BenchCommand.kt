package org.yuccawind.bench

/**
 * A command of the benchmark program.
 *
 * @property name command name, the first argument
 * @property options accepted options as the usage text shows them
 * @property run runs the command with the remaining arguments and returns the exit code
 */
internal class BenchCommand(val name: String, val options: String, val run: (Array<String>) -> Int)
