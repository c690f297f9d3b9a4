package org.yuccawind.cli

/**
 * Exit codes of the tool.
 *
 * @property number exit code of the process
 */
internal enum class ExitCode(val number: Int) {
    /** The command succeeded. */
    OK(0),

    /** The instance refused the request or could not be reached. */
    FAILED(1),

    /** Wrong arguments, settings or configuration; nothing was sent. */
    USAGE(2)
}

/** Ends the command with [code]; [message] is printed to standard error. */
internal class CommandFailure(val code: ExitCode, message: String) : Exception(message)

internal fun failUsage(message: String): Nothing = throw CommandFailure(ExitCode.USAGE, message)

internal fun fail(message: String): Nothing = throw CommandFailure(ExitCode.FAILED, message)
