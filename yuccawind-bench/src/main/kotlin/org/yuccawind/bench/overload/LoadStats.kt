package org.yuccawind.bench.overload

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.HdrHistogram.ConcurrentHistogram
import org.yuccawind.bench.client.CallerReply
import org.yuccawind.core.result.Outcome

private const val MAX_LATENCY_US = 60_000_000L
private const val SIGNIFICANT_DIGITS = 3
private const val P99 = 99.0
private const val US_PER_MS = 1_000.0

/**
 * Request counts and latencies of one load run.
 *
 * @property duration time during which requests were sent
 */
internal class LoadStats(private val duration: Duration) {
    private val latencies = ConcurrentHistogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    private val served = AtomicInteger()
    private val refusals = ConcurrentHashMap<String, AtomicInteger>()

    /** Keys of the writes that were refused without execution. */
    val refusedKeys = ConcurrentLinkedQueue<String>()

    /** Requests served per second. */
    val goodput get() = served.get() / (duration / 1.seconds)

    /** 99th percentile latency of the served requests in milliseconds. */
    val p99Ms get() = latencies.getValueAtPercentile(P99) / US_PER_MS

    /** Number of requests that were not served, by result code. */
    val refused get() = refusals.entries.sortedBy { it.key }.joinToString(";") {
        "${it.key}:${it.value}"
    }

    /** Records [reply], received after [elapsed]. [key] is the key of a write; null for a read. */
    fun add(reply: CallerReply, elapsed: Duration, key: String?) {
        val answer = (reply as? CallerReply.Answered)?.answer
        when (answer?.outcome) {
            Outcome.RAN.name -> {
                served.incrementAndGet()
                latencies.recordValue(elapsed.inWholeMicroseconds)
            }

            else -> {
                refusals.computeIfAbsent(answer?.name ?: "broken") { AtomicInteger() }
                    .incrementAndGet()
                if (key != null && answer?.outcome == Outcome.NOT_RUN.name) refusedKeys += key
            }
        }
    }
}
