package org.yuccawind.proxy.peer

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteWriteChannel
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.core.port.PeerClient
import org.yuccawind.core.port.PeerError
import org.yuccawind.proxy.metrics.TrafficCounter

private val DEFAULT_CALL_TIMEOUT = 1_000.milliseconds

/** The connection was closed while a call was waiting for its reply. */
private class ConnectionClosedException : Exception("connection dropped")

/** Calls other instances over one TCP connection per address. */
class KtorPeerClient(
    private val scope: CoroutineScope,
    private val traffic: TrafficCounter = TrafficCounter.None
) : PeerClient {
    private val selector = SelectorManager(Dispatchers.IO)
    private val connections = ConcurrentHashMap<String, Connection>()

    override suspend fun call(
        address: String,
        message: PeerMessage
    ): Either<PeerError, PeerMessage> = call(address, message, DEFAULT_CALL_TIMEOUT)

    override suspend fun call(
        address: String,
        message: PeerMessage,
        limit: Duration
    ): Either<PeerError, PeerMessage> {
        val connection = connections.computeIfAbsent(address) { Connection(it) }
        val calledAt = TimeSource.Monotonic.markNow()
        return try {
            withTimeoutOrNull(limit) { connection.call(message) }?.right()
                ?: connection.onTimeout(calledAt, limit).left()
        } catch (e: CancellationException) {
            throw e
        } catch (e: ConnectionClosedException) {
            PeerError("$address: ${e.message}").left()
        } catch (e: Exception) {
            connection.disconnect()
            PeerError("$address: ${e.javaClass.simpleName}").left()
        }
    }

    /** Connection to one instance, opened on first use and reopened after a failure. */
    private inner class Connection(private val address: String) {
        private val mutex = Mutex()
        private val lastSequence = AtomicLong()
        private val pendingReplies = ConcurrentHashMap<Long, CompletableDeferred<PeerMessage>>()
        private var socket: Socket? = null

        @Volatile
        private var lastReceivedAt: TimeSource.Monotonic.ValueTimeMark? = null
        private var output: ByteWriteChannel? = null

        suspend fun call(message: PeerMessage): PeerMessage {
            val sequence = lastSequence.incrementAndGet()
            val reply = CompletableDeferred<PeerMessage>()
            pendingReplies[sequence] = reply
            try {
                mutex.withLock {
                    val channel = output ?: connect()
                    channel.writeFrame(PeerFrame(PEER_VERSION, sequence, message), traffic)
                }
                return reply.await()
            } finally {
                pendingReplies.remove(sequence)
            }
        }

        suspend fun disconnect() = mutex.withLock {
            socket?.close()
            socket = null
            output = null
            val closed = ConnectionClosedException()
            pendingReplies.values.forEach { it.completeExceptionally(closed) }
        }

        /**
         * Handles a call that timed out after [limit]. Closes the connection if nothing was
         * received since [calledAt], because it may be broken without an error; the next call
         * reconnects.
         */
        suspend fun onTimeout(
            calledAt: TimeSource.Monotonic.ValueTimeMark,
            limit: Duration
        ): PeerError {
            val hasReceived = lastReceivedAt?.let { it >= calledAt } == true
            if (!hasReceived) disconnect()
            return PeerError("$address: no reply in $limit")
        }

        private suspend fun connect(): ByteWriteChannel {
            val host = address.substringBeforeLast(':')
            val port = address.substringAfterLast(':').toInt()
            val opened = aSocket(selector).tcp().connect(host, port)
            val channel = opened.openWriteChannel()
            socket = opened
            output = channel
            scope.launch { receive(opened) }
            return channel
        }

        private suspend fun receive(from: Socket) {
            try {
                val input = from.openReadChannel()
                while (true) {
                    val frame = input.readFrame(traffic)
                    lastReceivedAt = TimeSource.Monotonic.markNow()
                    pendingReplies.remove(frame.sequence)?.complete(frame.message)
                }
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                if (socket === from) disconnect()
            }
        }
    }
}
