package org.yuccawind.core.write

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource
import kotlinx.coroutines.delay

private const val CAPACITY = 100.0
private const val TOKENS_PER_REQUEST = 0.2
private const val TOKENS_PER_SECOND = 50.0
private val MIN_WAIT = 1.milliseconds

/**
 * Token bucket that limits the retries of one service.
 *
 * Each request adds a fraction of a token and time adds more, up to the capacity; each retry takes
 * one. Sustained retries are limited to a fifth of the requests plus the refill over time, which
 * lets a service with little traffic recover.
 *
 * @property time the clock
 */
internal class RetryBudget(private val time: TimeSource.WithComparableMarks) {
    private val lock = ReentrantLock()
    private var tokens = CAPACITY
    private var refilledAt = time.markNow()

    /** Adds the tokens earned by the first attempt of a request. */
    fun deposit() = lock.withLock { add(TOKENS_PER_REQUEST) }

    /** Waits for a token for one retry. Returns false if none is available before [deadline]. */
    suspend fun withdraw(deadline: ComparableTimeMark): Boolean {
        while (true) {
            val wait = tryTake() ?: return true
            if (deadline - time.markNow() <= wait) return false
            delay(wait)
        }
    }

    /** Takes a token and returns null, or returns the time until the next token. */
    private fun tryTake(): Duration? = lock.withLock {
        add(refilledAt.elapsedNow().toDouble(DurationUnit.SECONDS) * TOKENS_PER_SECOND)
        refilledAt = time.markNow()
        if (tokens < 1.0) return timeToNextToken()
        tokens -= 1.0
        null
    }

    /** Returns at least [MIN_WAIT], since a wait rounded down to zero would cause a busy loop. */
    private fun timeToNextToken() = maxOf(MIN_WAIT, ((1.0 - tokens) / TOKENS_PER_SECOND).seconds)

    private fun add(amount: Double) {
        tokens = minOf(CAPACITY, tokens + amount)
    }
}
