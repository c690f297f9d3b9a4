package org.yuccawind.proxy.peer

import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.core.port.DecisionLog
import org.yuccawind.proxy.settings.Endpoint

class KtorPeersTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
    private val address = "127.0.0.1:$port"
    private val peers = KtorPeers(scope)

    @AfterEach
    fun stop() = scope.cancel()

    @Test
    fun `a call without a reply in time leaves the others on a working connection alone`() =
        runBlocking {
            serve {
                if (it is PeerMessage.NoProof) awaitCancellation()
                if (it is PeerMessage.ListUnchanged) delay(600.milliseconds)
                PeerMessage.Done
            }
            peers.call(address, PeerMessage.Done).getOrNull() shouldBe PeerMessage.Done
            val slow = scope.async { peers.call(address, PeerMessage.ListUnchanged, 5.seconds) }
            val lost = scope.async { peers.call(address, PeerMessage.NoProof, 300.milliseconds) }
            delay(100.milliseconds)
            peers.call(address, PeerMessage.Done).getOrNull() shouldBe PeerMessage.Done
            lost.await().isLeft() shouldBe true
            slow.await().getOrNull() shouldBe PeerMessage.Done
        }

    @Test
    fun `calls on a connection that is given up end at once`() = runBlocking {
        serve { awaitCancellation() }
        val patient = scope.async { peers.call(address, PeerMessage.Done, 20.seconds) }
        delay(100.milliseconds)
        val (_, elapsed) = measureTimedValue {
            peers.call(address, PeerMessage.Done, 300.milliseconds)
            patient.await().isLeft() shouldBe true
        }
        elapsed shouldBeLessThan 10.seconds
    }

    @Test
    fun `a fault while one message is answered leaves the connection alone`() = runBlocking {
        serve { if (it is PeerMessage.NoProof) error("unexpected") else PeerMessage.Done }
        peers.call(address, PeerMessage.NoProof, 200.milliseconds).isLeft() shouldBe true
        peers.call(address, PeerMessage.Done, 5.seconds).getOrNull() shouldBe PeerMessage.Done
    }

    private suspend fun serve(answer: suspend (PeerMessage) -> PeerMessage) =
        PeerServer({ answer(it) }, DecisionLog.NONE).start(scope, Endpoint(port = port))
}
