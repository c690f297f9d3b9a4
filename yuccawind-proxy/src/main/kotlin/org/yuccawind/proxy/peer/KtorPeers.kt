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
import org.yuccawind.proxy.metrics.Traffic

private val CALL_LIMIT = 1_000.milliseconds

/** The connection on which a reply was waited for was given up. */
private class ConnectionDropped : Exception("connection dropped")

/** Calls other instances over one TCP connection each. */
class KtorPeers(private val scope: CoroutineScope, private val traffic: Traffic = Traffic.None) :
    PeerClient {
    private val selector = SelectorManager(Dispatchers.IO)
    private val links = ConcurrentHashMap<String, Link>()

    override suspend fun call(
        address: String,
        message: PeerMessage
    ): Either<PeerError, PeerMessage> = call(address, message, CALL_LIMIT)

    override suspend fun call(
        address: String,
        message: PeerMessage,
        limit: Duration
    ): Either<PeerError, PeerMessage> {
        val link = links.computeIfAbsent(address) { Link(it) }
        val askedAt = TimeSource.Monotonic.markNow()
        return try {
            withTimeoutOrNull(limit) { link.call(message) }?.right()
                ?: link.silent(askedAt, limit).left()
        } catch (e: CancellationException) {
            throw e
        } catch (e: ConnectionDropped) {
            PeerError("$address: ${e.message}").left()
        } catch (e: Exception) {
            link.drop()
            PeerError("$address: ${e.javaClass.simpleName}").left()
        }
    }

    /** A connection to one instance, opened when first needed and again after a failure. */
    private inner class Link(private val address: String) {
        private val mutex = Mutex()
        private val sequences = AtomicLong()
        private val waiting = ConcurrentHashMap<Long, CompletableDeferred<PeerMessage>>()
        private var socket: Socket? = null

        @Volatile
        private var receivedAt: TimeSource.Monotonic.ValueTimeMark? = null
        private var output: ByteWriteChannel? = null

        suspend fun call(message: PeerMessage): PeerMessage {
            val sequence = sequences.incrementAndGet()
            val reply = CompletableDeferred<PeerMessage>()
            waiting[sequence] = reply
            try {
                mutex.withLock {
                    val channel = output ?: connect()
                    channel.writeFrame(PeerFrame(PEER_VERSION, sequence, message), traffic)
                }
                return reply.await()
            } finally {
                waiting.remove(sequence)
            }
        }

        suspend fun drop() = mutex.withLock {
            socket?.close()
            socket = null
            output = null
            val dropped = ConnectionDropped()
            waiting.values.forEach { it.completeExceptionally(dropped) }
        }

        /**
         * A connection on which nothing came since [askedAt] may have gone silent: the next call
         * opens anew.
         */
        suspend fun silent(
            askedAt: TimeSource.Monotonic.ValueTimeMark,
            limit: Duration
        ): PeerError {
            val isAlive = receivedAt?.let { it >= askedAt } == true
            if (!isAlive) drop()
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
                    receivedAt = TimeSource.Monotonic.markNow()
                    waiting.remove(frame.sequence)?.complete(frame.message)
                }
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                if (socket === from) drop()
            }
        }
    }
}
