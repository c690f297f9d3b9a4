package org.yuccawind.proxy.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteWriteChannel
import java.util.concurrent.atomic.LongAdder
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.yuccawind.core.peer.PeerHandler
import org.yuccawind.core.port.DecisionLog
import org.yuccawind.proxy.metrics.TrafficCounter
import org.yuccawind.proxy.settings.Endpoint

/** Accepts connections from other instances and closes those that send an invalid frame. */
class PeerServer(
    private val handler: PeerHandler,
    private val log: DecisionLog,
    private val traffic: TrafficCounter = TrafficCounter.None
) {
    private val selector = SelectorManager(Dispatchers.IO)
    private val badFrameCount = LongAdder()

    /** Number of invalid frames received. */
    val badFrames: Long get() = badFrameCount.sum()

    /** Accepts connections until [scope] is cancelled. */
    suspend fun start(scope: CoroutineScope, endpoint: Endpoint) {
        val server = aSocket(selector).tcp().bind(endpoint.host, endpoint.port)
        scope.launch { accept(scope, server) }
    }

    private suspend fun accept(scope: CoroutineScope, server: ServerSocket) {
        server.use {
            while (true) {
                val socket = server.accept()
                scope.launch { serve(scope, socket) }
            }
        }
    }

    private suspend fun serve(scope: CoroutineScope, socket: Socket) {
        try {
            val input = socket.openReadChannel()
            val output = socket.openWriteChannel()
            val writeLock = Mutex()
            while (true) {
                val frame = input.readFrame(traffic)
                scope.launch { answer(frame, output, writeLock) }
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: BadFrameException) {
            badFrameCount.increment()
            log.record(
                "peer_bad_frame",
                "remote" to socket.remoteAddress,
                "reason" to e.message,
                "count" to badFrames
            )
        } catch (e: Exception) {
            log.record("peer_closed", "remote" to socket.remoteAddress, "reason" to e.message)
        } finally {
            socket.close()
        }
    }

    /** Replies to one frame; a failure affects neither the connection nor other requests. */
    private suspend fun answer(frame: PeerFrame, output: ByteWriteChannel, writeLock: Mutex) {
        try {
            val reply = frame.copy(message = handler.handle(frame.message))
            writeLock.withLock { output.writeFrame(reply, traffic) }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.record("peer_answer_failed", "reason" to e.message)
        }
    }
}
