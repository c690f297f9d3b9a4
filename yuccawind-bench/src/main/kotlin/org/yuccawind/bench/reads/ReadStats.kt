package org.yuccawind.bench.reads

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import org.HdrHistogram.ConcurrentHistogram
import org.yuccawind.bench.client.CallerReply
import org.yuccawind.core.result.Outcome

private const val MAX_LATENCY_US = 60_000_000L
private const val SIGNIFICANT_DIGITS = 3
private const val MEDIAN = 50.0
private const val P99 = 99.0
private const val US_PER_MS = 1_000.0

/** Request counts and read latencies of one run. */
internal class ReadStats {
    private val latencies = ConcurrentHistogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    private val readsByServer = ConcurrentHashMap<String, AtomicInteger>()
    private val refusals = ConcurrentHashMap<String, AtomicInteger>()

    @Volatile
    private var primary = ""
    private val staleReads = AtomicInteger()
    private val writes = AtomicInteger()

    /** Number of reads that missed an acknowledged write of their own session. */
    val stale get() = staleReads.get()

    /** Number of served reads. */
    val served get() = readsByServer.values.sumOf { it.get() }

    /** Number of acknowledged writes. */
    val written get() = writes.get()

    /** Number of requests that were not served, by result code. */
    val refused get() = refusals.entries.sortedBy { it.key }.joinToString(";") {
        "${it.key}:${it.value}"
    }

    /** 99th percentile read latency in milliseconds. */
    val p99Ms get() = latencies.getValueAtPercentile(P99) / US_PER_MS

    /** Median read latency in milliseconds. */
    val p50Ms get() = latencies.getValueAtPercentile(MEDIAN) / US_PER_MS

    /** Share of the reads served by a server other than the one that ran the last write. */
    fun replicaShare(): Double {
        val atPrimary = readsByServer[primary]?.get() ?: 0
        return if (served == 0) 0.0 else (served - atPrimary).toDouble() / served
    }

    fun recordRead(reply: CallerReply, latency: Duration) {
        val answer = (reply as? CallerReply.Answered)?.answer
        if (answer == null || answer.outcome != Outcome.RAN.name) return recordRefusal(reply)
        latencies.recordValue(latency.inWholeMicroseconds)
        increment(readsByServer, answer.server.orEmpty())
    }

    fun recordWrite(reply: CallerReply) {
        val answer = (reply as? CallerReply.Answered)?.answer
        if (answer?.outcome != Outcome.RAN.name) return recordRefusal(reply)
        writes.incrementAndGet()
        primary = answer.server.orEmpty()
    }

    fun recordStale() {
        staleReads.incrementAndGet()
    }

    private fun recordRefusal(reply: CallerReply) = when (reply) {
        is CallerReply.Answered -> increment(refusals, reply.answer.name)
        is CallerReply.Broken -> increment(refusals, "broken")
    }

    private fun increment(counts: ConcurrentHashMap<String, AtomicInteger>, key: String) {
        counts.computeIfAbsent(key) { AtomicInteger() }.incrementAndGet()
    }
}
