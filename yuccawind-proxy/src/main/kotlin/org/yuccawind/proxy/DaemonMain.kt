package org.yuccawind.proxy

import java.io.File
import kotlin.system.exitProcess
import kotlinx.coroutines.runBlocking
import org.yuccawind.proxy.settings.SettingsLoader

private const val EXIT_USAGE = 2
private const val USAGE = "usage: yuccawindd --settings FILE | --help | --version"

/** Runs one instance until SIGTERM, then stops gracefully. */
fun main(args: Array<String>) {
    when (args.toList()) {
        listOf("--version") -> return println("yuccawindd ${version()}")
        listOf("--help") -> return println(USAGE)
    }
    val file = settingsFile(args) ?: exitWith(USAGE)
    val settings = SettingsLoader.load(File(file)).fold({ exitWith(it) }, { it })
    val daemon = Daemon(settings)
    val exit = GracefulExit(daemon::stop)
    exit.install()
    try {
        runBlocking { daemon.start() }
    } catch (e: Exception) {
        System.err.println("yuccawindd: failed to start: ${e.cause?.message ?: e.message}")
        exit.fail()
    }
    Thread.currentThread().join()
}

/** Returns the argument of `--settings`, or null if the command line is invalid. */
private fun settingsFile(args: Array<String>): String? =
    args.singleOrNull()?.substringAfter("--settings=", "")?.ifEmpty { null }
        ?: args.takeIf { it.size == 2 && it[0] == "--settings" }?.get(1)

private fun version() = Daemon::class.java.`package`.implementationVersion ?: "development"

private fun exitWith(message: String): Nothing {
    System.err.println("yuccawindd: $message")
    exitProcess(EXIT_USAGE)
}
