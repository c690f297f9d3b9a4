package org.yuccawind.proxy.log

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.UnsynchronizedAppenderBase
import ch.qos.logback.core.encoder.Encoder
import java.io.ByteArrayOutputStream
import java.io.FileDescriptor
import java.io.FileOutputStream
import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

private const val QUEUE_LIMIT = 8_192
private const val BATCH_PERIOD_MS = 5L

/**
 * Writes log events to standard output in batches from a thread of its own, so that a request
 * never waits for a log line. Lines that find the queue full are dropped and counted in a line of
 * their own.
 *
 * @property output where the lines go
 */
class BatchingAppender(private val output: OutputStream = FileOutputStream(FileDescriptor.out)) :
    UnsynchronizedAppenderBase<ILoggingEvent>() {
    private val queue = ArrayBlockingQueue<ILoggingEvent>(QUEUE_LIMIT)
    private val dropped = AtomicLong()
    private var writer: Thread? = null

    /** Turns an event into a line; set by the configuration. */
    lateinit var encoder: Encoder<ILoggingEvent>

    override fun start() {
        super.start()
        writer = thread(isDaemon = true, name = "log-writer") { write() }
    }

    /** Writes what is queued and ends. */
    override fun stop() {
        if (!isStarted) return
        super.stop()
        writer?.interrupt()
        writer?.join()
    }

    override fun append(event: ILoggingEvent) {
        if (!queue.offer(event)) dropped.incrementAndGet()
    }

    private fun write() {
        val batch = ArrayList<ILoggingEvent>()
        try {
            while (true) {
                batch += queue.take()
                Thread.sleep(BATCH_PERIOD_MS)
                flush(batch)
            }
        } catch (e: InterruptedException) {
            flush(batch)
        }
    }

    private fun flush(batch: MutableList<ILoggingEvent>) {
        queue.drainTo(batch)
        val bytes = ByteArrayOutputStream()
        batch.forEach { bytes.write(encoder.encode(it)) }
        batch.clear()
        val missing = dropped.getAndSet(0)
        if (missing >
            0
        ) {
            bytes.write("level=WARN event=log_lines_dropped count=$missing\n".toByteArray())
        }
        bytes.writeTo(output)
        output.flush()
    }
}
