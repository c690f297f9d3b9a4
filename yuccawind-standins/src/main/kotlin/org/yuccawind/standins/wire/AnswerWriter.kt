package org.yuccawind.standins.wire

import io.github.oshai.kotlinlogging.KotlinLogging
import java.io.IOException
import java.net.Socket
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.random.nextLong

private val log = KotlinLogging.logger {}

private val TIMER: ScheduledExecutorService = Executors.newSingleThreadScheduledExecutor {
    Thread(it, "repeated answers").apply { isDaemon = true }
}

/** Writes answers to [socket], with the current faults and random choices. */
internal class AnswerWriter(
    private val socket: Socket,
    private val faults: () -> AnswerFaults,
    private val randomSource: () -> Random
) {
    /**
     * Writes [answer], without faults unless [hasFaults]. Returns false if it was cut off and the
     * connection has to be closed.
     */
    fun write(answer: List<String>, hasFaults: Boolean): Boolean {
        val bytes = answer.joinToString("") { "$it\r\n" }.toByteArray(Charsets.ISO_8859_1)
        val current = if (hasFaults) faults() else AnswerFaults()
        if (chance(current.cutShare)) {
            writeBytes(bytes.copyOf(bytes.size / 2))
            return false
        }
        if (!chance(current.repeatedShare)) {
            writeBytes(bytes)
            return true
        }
        val delay = draw { it.nextLong(current.repeatDelayMs) }
        writeBytes(if (delay == 0L) bytes + bytes else bytes)
        if (delay > 0) TIMER.schedule({ repeat(bytes) }, delay, TimeUnit.MILLISECONDS)
        return true
    }

    private fun chance(share: Double) = share > 0 && draw { it.nextDouble() } < share

    private fun <T> draw(choose: (Random) -> T): T {
        val random = randomSource()
        return synchronized(random) { choose(random) }
    }

    private fun repeat(bytes: ByteArray) {
        try {
            writeBytes(bytes)
        } catch (e: IOException) {
            log.debug { "second answer not sent: ${e.message}" }
        }
    }

    @Synchronized
    private fun writeBytes(bytes: ByteArray) = socket.getOutputStream().write(bytes)
}
