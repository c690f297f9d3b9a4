package org.yuccawind.core.pool

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import org.yuccawind.core.port.BackendConnection

/**
 * An open connection and its state.
 *
 * @property connection the connection
 * @property lastAnsweredAt when it last returned an answer
 * @property lastUsedAt when it last served a request
 * @property needsReset true after an interactive transaction, until it has been reset
 */
internal data class PooledConnection(
    val connection: BackendConnection,
    val lastAnsweredAt: ComparableTimeMark,
    val lastUsedAt: ComparableTimeMark = lastAnsweredAt,
    val needsReset: Boolean = false
)

/** The idle connections of a pool; the most recently used is reused first. */
internal class IdleConnections {
    private val lock = ReentrantLock()
    private val idle = ArrayDeque<PooledConnection>()

    /** Number of idle connections. */
    val size: Int get() = lock.withLock { idle.size }

    /** Removes and returns the most recently used connection, or null if none is idle. */
    fun take(): PooledConnection? = lock.withLock { idle.removeLastOrNull() }

    /** Adds a connection that is ready for the next transaction. */
    fun put(connection: PooledConnection) = lock.withLock { idle.addLast(connection) }

    /** Removes and returns the connections that have not answered since [mark]. */
    fun takeSilentSince(mark: ComparableTimeMark) = takeAll { it.lastAnsweredAt <= mark }

    /** Removes and returns the connections that have not answered for at least [age]. */
    fun takeSilentFor(age: Duration) = takeAll { it.lastAnsweredAt.elapsedNow() >= age }

    /**
     * Removes and returns up to [count] connections that have been idle for at least [age], least
     * recently used first.
     */
    fun takeSurplus(count: Int, age: Duration): List<PooledConnection> {
        var remaining = count
        return takeAll { it.lastUsedAt.elapsedNow() >= age && remaining-- > 0 }
    }

    private fun takeAll(predicate: (PooledConnection) -> Boolean): List<PooledConnection> =
        lock.withLock {
            val taken = idle.filter(predicate)
            idle.removeAll(taken.toSet())
            taken
        }
}
