package org.yuccawind.bench.cluster

import java.io.BufferedReader
import java.io.Closeable
import java.io.File
import java.io.FileOutputStream

private const val DIRECTORY_VARIABLE = "YUCCAWIND_SUPERVISOR"

/**
 * Client of the launcher script, which starts and signals processes on its behalf. Commands and
 * replies are lines in two named pipes; this process starts no child processes.
 */
class Supervisor private constructor(directory: File) : Closeable {
    private val commands = FileOutputStream(File(directory, "commands"))
    private val replies: BufferedReader = File(directory, "replies").bufferedReader()

    /** Starts [command] under the name [id] with output to [log]; returns the process id. */
    fun start(id: String, log: File, command: List<String>): Int =
        sendCommand("start $id $log ${command.joinToString(" ")}").toInt()

    /** Sends [signal] to the process [id]. */
    fun signal(id: String, signal: Signal) {
        sendCommand("signal $id ${signal.unixName}")
    }

    /** Exit code of the process [id]; null while it runs. */
    fun exitCode(id: String): Int? = sendCommand("status $id").toIntOrNull()

    override fun close() {
        commands.close()
        replies.close()
    }

    @Synchronized
    private fun sendCommand(command: String): String {
        commands.write("$command\n".toByteArray())
        commands.flush()
        return checkNotNull(replies.readLine()) { "launcher script closed the reply pipe" }
    }

    companion object {
        /** Opens the pipes of the launcher script that started this process. */
        fun connect(): Supervisor {
            val directory = checkNotNull(System.getenv(DIRECTORY_VARIABLE)) {
                "YUCCAWIND_SUPERVISOR is not set; start the benchmark with bin/yuccawind-bench"
            }
            return Supervisor(File(directory))
        }
    }
}

/**
 * Signal that can be sent to a process.
 *
 * @property unixName signal name for the shell command `kill`
 */
enum class Signal(val unixName: String) {
    KILL("KILL"),
    TERMINATE("TERM"),
    FREEZE("STOP"),
    THAW("CONT")
}
