package org.yuccawind.proxy

import java.io.File
import kotlin.system.exitProcess
import kotlinx.coroutines.runBlocking
import org.yuccawind.proxy.log.LogOutput
import org.yuccawind.proxy.settings.SettingsLoader

private const val EXIT_OK = 0
private const val EXIT_FAILED = 1
private const val EXIT_USAGE = 2
private const val USAGE = "usage: yuccawindd --settings FILE | --help | --version"

/** Runs one instance until SIGTERM, then stops gracefully. */
fun main(args: Array<String>) {
    when (args.toList()) {
        listOf("--version") -> return println("yuccawindd ${version()}")
        listOf("--help") -> return println(USAGE)
    }
    val file = settingsFile(args) ?: exitWith(EXIT_USAGE, USAGE)
    val settings = SettingsLoader.load(File(file)).fold({ exitWith(EXIT_USAGE, it) }, { it })
    val daemon = Daemon(settings)
    try {
        runBlocking { daemon.start() }
    } catch (e: Exception) {
        exitWith(EXIT_FAILED, "failed to start: ${e.cause?.message ?: e.message}")
    }
    Runtime.getRuntime().addShutdownHook(Thread { drainAndExit(daemon) })
    Thread.currentThread().join()
}

/** Drains and exits with 0; otherwise the JVM would exit with the status of the signal. */
private fun drainAndExit(daemon: Daemon) {
    runBlocking { daemon.stop() }
    LogOutput.close()
    Runtime.getRuntime().halt(EXIT_OK)
}

/** Returns the argument of `--settings`, or null if the command line is invalid. */
private fun settingsFile(args: Array<String>): String? =
    args.singleOrNull()?.substringAfter("--settings=", "")?.ifEmpty { null }
        ?: args.takeIf { it.size == 2 && it[0] == "--settings" }?.get(1)

private fun version() = Daemon::class.java.`package`.implementationVersion ?: "development"

private fun exitWith(code: Int, message: String): Nothing {
    System.err.println("yuccawindd: $message")
    exitProcess(code)
}
