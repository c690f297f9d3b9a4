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
import org.yuccawind.proxy.metrics.Traffic
import org.yuccawind.proxy.settings.Endpoint

/** Listens for other instances. A connection that sends a bad frame is closed. */
class PeerServer(
    private val handler: PeerHandler,
    private val log: DecisionLog,
    private val traffic: Traffic = Traffic.None
) {
    private val selector = SelectorManager(Dispatchers.IO)
    private val refused = LongAdder()

    /** Frames refused so far. */
    val badFrames: Long get() = refused.sum()

    /** Accepts connections until [scope] ends. */
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
            val writing = Mutex()
            while (true) {
                val frame = input.readFrame(traffic)
                scope.launch { answer(frame, output, writing) }
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: BadFrameException) {
            refused.increment()
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

    /** A fault in one answer ends neither the connection nor the others. */
    private suspend fun answer(frame: PeerFrame, output: ByteWriteChannel, writing: Mutex) {
        try {
            val reply = frame.copy(message = handler.handle(frame.message))
            writing.withLock { output.writeFrame(reply, traffic) }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.record("peer_answer_failed", "reason" to e.message)
        }
    }
}
