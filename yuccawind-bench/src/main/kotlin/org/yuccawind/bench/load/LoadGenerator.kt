package org.yuccawind.bench.load

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.HdrHistogram.Histogram

private const val MAX_LATENCY_MICROS = 60_000_000L
private const val SIGNIFICANT_DIGITS = 3

/**
 * Sends statements with a fixed number of workers and records their latencies. At a fixed rate,
 * latency is measured from the scheduled send time. A stall therefore counts in the latency of
 * every statement that it delays, which avoids coordinated omission.
 *
 * @property workers number of statements in progress concurrently
 */
class LoadGenerator(private val workers: Int) {
    /** Sends statements to [target] for [duration]. */
    suspend fun run(target: LoadTarget, model: LoadModel, duration: Duration): LoadResult =
        coroutineScope {
            val startedAt = TimeSource.Monotonic.markNow()
            val all = List(workers) { Worker(it, target, startedAt, startedAt + duration) }
            all.map { async(Dispatchers.Default) { it.run(model) } }.awaitAll()
            result(all, startedAt.elapsedNow())
        }

    private fun result(all: List<Worker>, elapsed: Duration): LoadResult {
        val latencies = Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
        all.forEach { latencies.add(it.latencies) }
        val perSecond = latencies.totalCount / elapsed.toDouble(DurationUnit.SECONDS)
        return LoadResult(latencies, all.sumOf { it.failures }, perSecond)
    }

    private inner class Worker(
        private val index: Int,
        private val target: LoadTarget,
        private val startedAt: ComparableTimeMark,
        private val endsAt: ComparableTimeMark
    ) {
        val latencies = Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
        var failures = 0L

        suspend fun run(model: LoadModel) = when (model) {
            LoadModel.ClosedLoop -> runClosedLoop()
            is LoadModel.FixedRate -> runFixedRate(workers.seconds / model.perSecond)
        }

        private suspend fun runClosedLoop() {
            while (endsAt.hasNotPassedNow()) send(TimeSource.Monotonic.markNow())
        }

        private suspend fun runFixedRate(interval: Duration) {
            var due = startedAt + interval * index / workers
            while (due < endsAt) {
                delay(-due.elapsedNow())
                send(due)
                due += interval
            }
        }

        private suspend fun send(due: ComparableTimeMark) {
            if (target.run(index)) {
                latencies.recordValue(
                    due.elapsedNow().inWholeMicroseconds.coerceIn(1, MAX_LATENCY_MICROS)
                )
            } else {
                failures++
            }
        }
    }
}
