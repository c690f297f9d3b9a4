package org.yuccawind.core.pool

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.port.BackendConnection
import org.yuccawind.core.port.BackendError
import org.yuccawind.core.port.BackendServer

private val RETRY_DELAY = 20.milliseconds

/**
 * Opens connections to one server. A connection that opens after its caller timed out or was
 * cancelled is added to the idle connections.
 */
internal class ConnectionOpener(
    private val server: BackendServer,
    private val settings: PoolSettings,
    private val time: TimeSource.WithComparableMarks,
    private val idle: IdleConnections
) {
    /**
     * Opens a connection. While the server is at its connection limit, alternates between
     * [takeIdle] and another attempt to open until [deadline].
     */
    suspend fun connect(
        deadline: ComparableTimeMark,
        takeIdle: suspend () -> PooledConnection?
    ): Either<BackendError, PooledConnection> {
        while (true) {
            val opened = open(deadline).map { PooledConnection(it, time.markNow()) }
            val isFull = opened.leftOrNull() is BackendError.NoConnection
            if (!isFull || deadline.hasPassedNow()) return opened
            delay(RETRY_DELAY)
            takeIdle()?.let { return it.right() }
        }
    }

    /** Opens outside the caller's job, so that cancelling the caller leaks no connection. */
    private suspend fun open(
        deadline: ComparableTimeMark
    ): Either<BackendError, BackendConnection> {
        val scope = CoroutineScope(currentCoroutineContext().minusKey(Job))
        val pending = scope.async { server.open() }
        val timeout = minOf(settings.openTimeout, -deadline.elapsedNow())
        var opened: Either<BackendError, BackendConnection>? = null
        try {
            withTimeoutOrNull(timeout) { opened = pending.await() }
        } finally {
            if (opened == null) scope.launch { addToIdle(pending) }
        }
        return opened ?: BackendError.NotSent("no new connection in $timeout").left()
    }

    private suspend fun addToIdle(pending: Deferred<Either<BackendError, BackendConnection>>) {
        pending.await().onRight { idle.put(PooledConnection(it, time.markNow())) }
    }
}
