package org.yuccawind.core.pool

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.supervisorScope
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.port.Answer
import org.yuccawind.core.port.BackendConnection
import org.yuccawind.core.port.BackendError
import org.yuccawind.core.port.BackendServer
import org.yuccawind.core.port.Command
import org.yuccawind.core.result.Refusal
import org.yuccawind.core.result.ResultCode

private val CLOSE_CHECK_INTERVAL = 20.milliseconds
private val PROBE_TIMEOUT = 500.milliseconds
private val MIN_QUERY_TIMEOUT = 300.milliseconds
private const val QUERY_TIMEOUT_FACTOR = 16
private const val RETRY_AFTER_MS = 200L

/**
 * Connection pool of this instance for one backend server.
 *
 * A connection serves one transaction at a time, and is reset after an interactive one. A
 * connection that failed to answer a command is closed and never reused.
 *
 * @property server the backend server
 * @property settings sizes and timeouts
 * @property time the clock
 * @property signals live instances and server status
 */
class ConnectionPool(
    private val server: BackendServer,
    private val settings: PoolSettings,
    private val time: TimeSource.WithComparableMarks,
    private val signals: PoolSignals
) {
    private val share = ConnectionShare(settings.connections) { signals.instanceCount }
    private val concurrency = ConcurrencyLimit(settings.slots)
    private val statementPermits = PermitQueue(concurrency.current, settings.queueLimit)
    private val leasePermits = PermitQueue(share.allowed(0, null), settings.queueLimit)
    private val idle = IdleConnections()
    private val opener = ConnectionOpener(server, settings, time, idle)
    private val closing = Channel<BackendConnection>(Channel.UNLIMITED)

    /** Number of requests that hold or wait for a slot. */
    val load: Int get() = statementPermits.usage.let { it.held + it.waiting }

    /** Number of requests that wait for a slot. */
    val waiting: Int get() = statementPermits.usage.waiting

    /** Estimated time that a new statement waits for those running or queued before it. */
    val expectedWait: Duration
        get() {
            val usage = statementPermits.usage
            return concurrency.statementTime * (usage.held + usage.waiting) / usage.limit
        }

    /** Runs one command on an exclusive connection; waits for slot and answer until [deadline]. */
    suspend fun execute(command: Command, deadline: ComparableTimeMark): Either<PoolError, Answer> {
        val permit = statementPermits.acquire(deadline, concurrency.statementTime)
        refusalOf(permit)?.let { return PoolError.Refused(it).left() }
        try {
            val lease = acquire(deadline).fold({ return PoolError.Refused(it).left() }, { it })
            return lease.executeAndRelease(command, deadline).mapLeft(PoolError::Backend)
        } finally {
            statementPermits.release()
        }
    }

    /** Acquires a connection for a transaction; the caller must release or discard it. */
    suspend fun acquire(deadline: ComparableTimeMark): Either<Refusal, Lease> {
        leasePermits.resize(allowed())
        refusalOf(leasePermits.acquire(deadline, Duration.ZERO))?.let { return it.left() }
        var lease: Either<BackendError, Lease>? = null
        try {
            lease = reuseOrOpen(deadline).map(::Lease)
        } finally {
            if (lease?.isRight() != true) leasePermits.release()
        }
        return lease.mapLeft { refusal("${server.name}: ${it.detail}") }
    }

    /** Probes idle connections and closes surplus ones until cancelled, then closes all. */
    suspend fun run(): Unit = supervisorScope {
        try {
            launch { for (connection in closing) launch { close(connection) } }
            while (true) {
                delay(settings.maintenanceInterval)
                closeSurplus()
                idle.takeSilentFor(settings.probeAfter).forEach { launch { probe(it) } }
            }
        } finally {
            withContext(NonCancellable) { closeAll() }
        }
    }

    private fun allowed() =
        share.allowed(leasePermits.usage.held + idle.size, signals.status?.openConnections)

    private suspend fun reuseOrOpen(deadline: ComparableTimeMark) =
        takeIdle()?.right() ?: opener.connect(deadline, ::takeIdle)

    private suspend fun takeIdle(): PooledConnection? {
        while (true) {
            val next = idle.take() ?: return null
            if (!next.needsReset) return next
            resetOrClose(next)?.let { return it }
        }
    }

    private suspend fun resetOrClose(pooled: PooledConnection): PooledConnection? {
        var isReset = false
        try {
            isReset = withTimeoutOrNull(PROBE_TIMEOUT) {
                pooled.connection.execute(Command.Reset).isRight()
            } ?: false
        } finally {
            if (!isReset) closing.trySend(pooled.connection)
        }
        if (!isReset) return null
        return pooled.copy(lastAnsweredAt = time.markNow(), needsReset = false)
    }

    private suspend fun probe(pooled: PooledConnection) {
        resetOrClose(pooled)?.let(idle::put)
    }

    private fun closeSurplus() {
        val surplus = leasePermits.usage.held + idle.size - share.guaranteed
        val isFull = leasePermits.usage.held + idle.size > allowed()
        val age = if (isFull) Duration.ZERO else settings.idleTimeout
        idle.takeSurplus(surplus, age).forEach { closing.trySend(it.connection) }
    }

    private suspend fun close(connection: BackendConnection) {
        withTimeoutOrNull(settings.statementTimeout) { connection.close() }
    }

    private suspend fun closeAll() {
        withTimeoutOrNull(settings.statementTimeout) {
            do {
                idle.takeSilentFor(Duration.ZERO).forEach { close(it.connection) }
                while (true) close(closing.tryReceive().getOrNull() ?: break)
                val isBusy = leasePermits.usage.held > 0
                if (isBusy) delay(CLOSE_CHECK_INTERVAL)
            } while (isBusy)
        }
    }

    private fun refusalOf(result: PermitResult): Refusal? = when (result) {
        PermitResult.Acquired -> null

        PermitResult.Expired -> refusal("no connection to ${server.name} in time")

        PermitResult.Overloaded -> Refusal(
            ResultCode.OVERLOADED,
            "the queue of ${server.name} can't finish in time",
            RETRY_AFTER_MS
        )
    }

    private fun refusal(detail: String) = Refusal(ResultCode.NO_CONNECTION, detail, RETRY_AFTER_MS)

    /** Exclusive use of a connection for one transaction. */
    inner class Lease internal constructor(private val pooled: PooledConnection) {
        private val isReturned = AtomicBoolean()

        /** Runs a command of the transaction, with the statement timeout. */
        suspend fun execute(command: Command): Either<BackendError, Answer> =
            execute(command, settings.statementTimeout)

        /** Returns the connection to the pool; it is reset before the next transaction. */
        fun release() = release(needsReset = true)

        /** Closes the connection because its state is unknown; it is never reused. */
        fun discard() {
            if (!isReturned.compareAndSet(false, true)) return
            closing.trySend(pooled.connection)
            leasePermits.release()
        }

        internal suspend fun executeAndRelease(
            command: Command,
            deadline: ComparableTimeMark
        ): Either<BackendError, Answer> {
            val startedAt = time.markNow()
            try {
                val answer = execute(command, minOf(timeoutOf(command), -deadline.elapsedNow()))
                if (isReusableAfter(answer)) {
                    release(needsReset = false)
                    statementPermits.resize(concurrency.record(startedAt.elapsedNow()))
                }
                return answer
            } finally {
                // Also reached if the caller is cancelled while the command is in flight.
                discard()
            }
        }

        private suspend fun execute(
            command: Command,
            timeout: Duration
        ): Either<BackendError, Answer> {
            val startedAt = time.markNow()
            val answer = withTimeoutOrNull(timeout) { pooled.connection.execute(command) }
            if (answer != null) return answer
            // A network or server failure usually affects all connections at once, so every idle
            // connection that has not answered since is closed as well.
            idle.takeSilentSince(startedAt).forEach { closing.trySend(it.connection) }
            return BackendError.Lost("no answer in $timeout").left()
        }

        private fun release(needsReset: Boolean) {
            if (!isReturned.compareAndSet(false, true)) return
            val now = time.markNow()
            idle.put(PooledConnection(pooled.connection, now, now, needsReset))
            leasePermits.release()
        }

        private fun isReusableAfter(answer: Either<BackendError, Answer>) = answer.fold({
            when (it) {
                is BackendError.Failed, is BackendError.NotPrimary -> true

                is BackendError.Lost,
                is BackendError.NotSent,
                is BackendError.NoConnection
                -> false
            }
        }, { true })
    }

    /**
     * Timeout of [command]. A read can be retried on another server, so it gets a shorter timeout
     * and does not spend the whole statement timeout on an unresponsive connection.
     */
    private fun timeoutOf(command: Command) = when (command) {
        is Command.Query -> (concurrency.statementTime * QUERY_TIMEOUT_FACTOR)
            .coerceIn(MIN_QUERY_TIMEOUT, settings.statementTimeout)

        else -> settings.statementTimeout
    }
}
