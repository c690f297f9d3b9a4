package org.yuccawind.core.pool

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/**
 * A semaphore with a resizable number of permits and a bounded FIFO queue.
 *
 * A request whose expected wait exceeds its deadline is rejected on arrival.
 *
 * @param limit initial number of permits
 * @param queueLimit maximum number of waiters
 */
internal class PermitQueue(limit: Int, private val queueLimit: Int) {
    private val lock = ReentrantLock()
    private val waiters = ArrayDeque<CompletableDeferred<Unit>>()
    private var permits = limit
    private var held = 0

    /** Snapshot of the permits held and the waiters. */
    val usage: PermitUsage get() = lock.withLock { PermitUsage(held, waiters.size, permits) }

    /** Acquires a permit if one is free and the queue is empty. */
    fun tryAcquire(): Boolean = lock.withLock {
        val free = held < permits && waiters.isEmpty()
        if (free) held++
        free
    }

    /**
     * Acquires a permit before [deadline]. [holdTime] is the expected time that a permit is held;
     * if the resulting wait exceeds the deadline, the request is rejected at once.
     */
    suspend fun acquire(deadline: ComparableTimeMark, holdTime: Duration): PermitResult {
        val waiter = lock.withLock {
            if (tryAcquire()) return PermitResult.Acquired
            val wait = holdTime * (waiters.size + 1) / maxOf(1, permits)
            if (waiters.size >= queueLimit || wait > -deadline.elapsedNow()) {
                return PermitResult.Overloaded
            }
            CompletableDeferred<Unit>().also(waiters::addLast)
        }
        return await(waiter, deadline)
    }

    /** Releases a permit and grants it to the first waiter, if the limit allows. */
    fun release() = lock.withLock {
        held--
        grant()
    }

    /** Changes the limit; permits already held above it are not revoked. */
    fun resize(limit: Int) = lock.withLock {
        permits = limit
        grant()
    }

    private suspend fun await(
        waiter: CompletableDeferred<Unit>,
        deadline: ComparableTimeMark
    ): PermitResult {
        var result: PermitResult = PermitResult.Expired
        try {
            withTimeoutOrNull(-deadline.elapsedNow()) {
                waiter.await()
                result = PermitResult.Acquired
            }
        } finally {
            if (result != PermitResult.Acquired) abandon(waiter)
        }
        return result
    }

    /** Cancels a wait; a permit granted concurrently with the cancellation is released. */
    private fun abandon(waiter: CompletableDeferred<Unit>) = lock.withLock {
        if (!waiters.remove(waiter)) release()
    }

    private fun grant() {
        while (held < permits) {
            val next = waiters.removeFirstOrNull() ?: return
            held++
            next.complete(Unit)
        }
    }
}

/**
 * Usage of a [PermitQueue].
 *
 * @property held permits held
 * @property waiting number of waiters
 * @property limit total number of permits
 */
internal data class PermitUsage(val held: Int, val waiting: Int, val limit: Int)

/** Result of a request for a permit. */
internal sealed interface PermitResult {
    /** The permit was granted. */
    data object Acquired : PermitResult

    /** The queue is full, or the expected wait exceeds the deadline. */
    data object Overloaded : PermitResult

    /** The deadline passed while waiting in the queue. */
    data object Expired : PermitResult
}
