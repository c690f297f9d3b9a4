package org.yuccawind.proxy

import kotlin.system.exitProcess
import kotlinx.coroutines.runBlocking
import org.yuccawind.proxy.log.LogOutput

private const val EXIT_OK = 0
private const val EXIT_FAILED = 1

/**
 * Ends the process gracefully when a signal stops it. To be installed before the process accepts
 * work, since the default action of the signal ends it at once.
 *
 * @param stop stops the process's work; called once, possibly while it is still starting
 */
class GracefulExit(private val stop: suspend () -> Unit) {
    @Volatile
    private var exitCode = EXIT_OK

    /** Installs the handler. */
    fun install() = Runtime.getRuntime().addShutdownHook(Thread(::stopAndHalt))

    /** Stops after a failed start and exits with 1. */
    fun fail(): Nothing {
        exitCode = EXIT_FAILED
        exitProcess(EXIT_FAILED)
    }

    /** Exits with [exitCode]; otherwise the JVM would exit with the status of the signal. */
    private fun stopAndHalt() {
        runBlocking { stop() }
        LogOutput.close()
        Runtime.getRuntime().halt(exitCode)
    }
}
