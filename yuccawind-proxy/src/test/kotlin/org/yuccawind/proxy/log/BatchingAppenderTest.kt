package org.yuccawind.proxy.log

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import io.kotest.matchers.collections.shouldContainInOrder
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.util.concurrent.CountDownLatch
import org.junit.jupiter.api.Test

private const val LINES = 20_000
private const val FEW_LINES = 5_000

class BatchingAppenderTest {
    @Test
    fun `lines within the queue are written in order when the appender ends`() {
        val output = ByteArrayOutputStream()
        log(output) { logger -> repeat(FEW_LINES) { logger.info("line=$it") } }
        output.toString().lines().dropLast(1) shouldBe List(FEW_LINES) { "line=$it" }
    }

    @Test
    fun `an output that stands still blocks nobody and every dropped line is counted`() {
        val gate = CountDownLatch(1)
        val output = GatedOutput(gate)
        log(output) { logger ->
            // Returns though nothing can be written: a blocking appender would never reach the end.
            repeat(LINES) { logger.info("line=$it") }
            gate.countDown()
        }
        val (counts, lines) = output.text().lines().dropLast(1)
            .partition { it.startsWith("level=WARN event=log_lines_dropped") }
        val dropped = counts.sumOf { it.substringAfter("count=").toLong() }
        dropped shouldBeGreaterThan 0
        lines.size + dropped shouldBe LINES.toLong()
        List(LINES) { "line=$it" } shouldContainInOrder lines
    }

    private fun log(output: OutputStream, block: (Logger) -> Unit) {
        val loggers = LoggerContext()
        val appender = BatchingAppender(output)
        appender.context = loggers
        appender.encoder = PatternLayoutEncoder().apply {
            context = loggers
            pattern = "%msg%n"
            start()
        }
        appender.start()
        block(loggers.getLogger("test").apply { addAppender(appender) })
        appender.stop()
    }

    private class GatedOutput(private val gate: CountDownLatch) : OutputStream() {
        private val bytes = ByteArrayOutputStream()

        override fun write(byte: Int) = bytes.write(byte)

        override fun write(source: ByteArray, offset: Int, length: Int) {
            awaitGate()
            bytes.write(source, offset, length)
        }

        fun text() = bytes.toString()

        /** A real write can't be interrupted, so an interrupt is kept for later. */
        private fun awaitGate() {
            var isInterrupted = false
            while (gate.count > 0) {
                try {
                    gate.await()
                } catch (e: InterruptedException) {
                    isInterrupted = true
                }
            }
            if (isInterrupted) Thread.currentThread().interrupt()
        }
    }
}
