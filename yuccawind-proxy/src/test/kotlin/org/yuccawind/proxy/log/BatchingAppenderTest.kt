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

private const val LINES_OVER_CAPACITY = 20_000
private const val LINES_WITHIN_CAPACITY = 5_000

class BatchingAppenderTest {
    @Test
    fun `stopping the appender writes all queued lines in order`() {
        val output = ByteArrayOutputStream()
        log(output) { logger -> repeat(LINES_WITHIN_CAPACITY) { logger.info("line=$it") } }
        output.toString().lines().dropLast(1) shouldBe List(LINES_WITHIN_CAPACITY) { "line=$it" }
    }

    @Test
    fun `a blocked output does not block logging and dropped lines are counted`() {
        val gate = CountDownLatch(1)
        val output = GatedOutput(gate)
        log(output) { logger ->
            // The output blocks until the gate opens; a blocking appender would hang in this loop.
            repeat(LINES_OVER_CAPACITY) { logger.info("line=$it") }
            gate.countDown()
        }
        val (counts, lines) = output.text().lines().dropLast(1)
            .partition { it.startsWith("level=WARN event=log_lines_dropped") }
        val dropped = counts.sumOf { it.substringAfter("count=").toLong() }
        dropped shouldBeGreaterThan 0
        lines.size + dropped shouldBe LINES_OVER_CAPACITY.toLong()
        List(LINES_OVER_CAPACITY) { "line=$it" } shouldContainInOrder lines
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

    /** An output whose writes block until [gate] opens. */
    private class GatedOutput(private val gate: CountDownLatch) : OutputStream() {
        private val bytes = ByteArrayOutputStream()

        override fun write(byte: Int) = bytes.write(byte)

        override fun write(source: ByteArray, offset: Int, length: Int) {
            awaitGate()
            bytes.write(source, offset, length)
        }

        fun text() = bytes.toString()

        /** Defers an interrupt until the gate opens, because a real write cannot be interrupted. */
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
