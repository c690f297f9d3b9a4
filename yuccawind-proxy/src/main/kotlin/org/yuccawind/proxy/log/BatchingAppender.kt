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

private const val QUEUE_CAPACITY = 8_192
private const val BATCH_INTERVAL_MS = 5L

/**
 * Writes log events to standard output in batches on a dedicated thread, so that requests never
 * block on logging. When the queue is full, events are dropped; a warning line reports how many.
 *
 * @property output stream that receives the encoded lines
 */
class BatchingAppender(private val output: OutputStream = FileOutputStream(FileDescriptor.out)) :
    UnsynchronizedAppenderBase<ILoggingEvent>() {
    private val queue = ArrayBlockingQueue<ILoggingEvent>(QUEUE_CAPACITY)
    private val dropped = AtomicLong()
    private var writer: Thread? = null

    /** Encodes an event as one line. Must be set before [start]. */
    lateinit var encoder: Encoder<ILoggingEvent>

    override fun start() {
        super.start()
        writer = thread(isDaemon = true, name = "log-writer") { writeLoop() }
    }

    /** Writes the queued events and stops the writer thread. */
    override fun stop() {
        if (!isStarted) return
        super.stop()
        writer?.interrupt()
        writer?.join()
    }

    override fun append(event: ILoggingEvent) {
        if (!queue.offer(event)) dropped.incrementAndGet()
    }

    private fun writeLoop() {
        val batch = ArrayList<ILoggingEvent>()
        try {
            while (true) {
                batch += queue.take()
                Thread.sleep(BATCH_INTERVAL_MS)
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
        val count = dropped.getAndSet(0)
        if (count > 0) {
            bytes.write("level=WARN event=log_lines_dropped count=$count\n".toByteArray())
        }
        bytes.writeTo(output)
        output.flush()
    }
}
