package org.yuccawind.core.pool

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val EWMA_WEIGHT = 0.1
private const val BASELINE_GROWTH = 1.01
private const val DECREASE_FACTOR = 0.8
private const val QUEUEING_FACTOR = 2.0
private val QUEUEING_SLACK = 2.milliseconds

/**
 * Adaptive limit on the statements that this instance runs concurrently on one server: additive
 * increase while latency stays near the baseline, multiplicative decrease once latency indicates
 * queueing on the server.
 *
 * Other instances share the server's slots without coordination, so statement latency is the only
 * signal of load.
 *
 * @property slots statements that the server runs concurrently; upper bound of the limit
 */
internal class ConcurrencyLimit(private val slots: Int) {
    private val lock = ReentrantLock()
    private var limit = slots.toDouble()
    private var baseline = Duration.INFINITE
    private var ewma = Duration.ZERO

    /** Current limit; at least 1. */
    val current: Int get() = lock.withLock { limit.toInt() }

    /** Exponentially weighted mean of statement latency; zero before the first statement. */
    val statementTime: Duration get() = lock.withLock { ewma }

    /** Records the latency of one statement and returns the updated limit. */
    fun record(time: Duration): Int = lock.withLock {
        ewma = if (ewma == Duration.ZERO) time else ewma * (1 - EWMA_WEIGHT) + time * EWMA_WEIGHT
        // The growth lets the baseline adapt to a server that has become slower.
        baseline = minOf(baseline * BASELINE_GROWTH, time)
        val isQueueing = ewma > baseline * QUEUEING_FACTOR + QUEUEING_SLACK
        val next = if (isQueueing) limit * DECREASE_FACTOR else limit + 1 / limit
        limit = next.coerceIn(1.0, slots.toDouble())
        limit.toInt()
    }
}
