package org.yuccawind.proxy.peer

import io.kotest.matchers.shouldBe
import java.io.DataOutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.core.port.DecisionLog
import org.yuccawind.proxy.settings.Endpoint

private const val FRAME_COUNT = 50

class PeerServerTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
    private val server = PeerServer({ PeerMessage.ListUnchanged }, DecisionLog.NONE)

    @BeforeEach
    fun start() = runBlocking { server.start(scope, Endpoint(port = port)) }

    @AfterEach
    fun stop() = scope.cancel()

    @Test
    fun `frames with random content are refused and counted and the server keeps serving`() {
        val random = Random(11)
        repeat(FRAME_COUNT) { send(it + 1) { _ -> random.nextBytes(it + 1) } }
        server.badFrames shouldBe FRAME_COUNT.toLong()
        call() shouldBe PeerMessage.ListUnchanged
    }

    @Test
    fun `a frame with an invalid length is refused before its content is read`() {
        send(Int.MAX_VALUE) { ByteArray(0) }
        send(-1) { ByteArray(0) }
        server.badFrames shouldBe 2L
        call() shouldBe PeerMessage.ListUnchanged
    }

    private fun call() = runBlocking {
        KtorPeerClient(scope).call("127.0.0.1:$port", PeerMessage.Done).getOrNull()
    }

    /** Sends a frame and returns once the server has closed the connection. */
    private fun send(length: Int, content: (Int) -> ByteArray) {
        Socket(InetAddress.getLoopbackAddress(), port).use { socket ->
            val output = DataOutputStream(socket.getOutputStream())
            output.writeInt(length)
            output.write(content(length))
            output.flush()
            socket.getInputStream().readAllBytes()
        }
    }
}
