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

class KtorPeerClientTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
    private val address = "127.0.0.1:$port"
    private val client = KtorPeerClient(scope)

    @AfterEach
    fun stop() = scope.cancel()

    @Test
    fun `a timed-out call does not affect other calls on a working connection`() =
        runBlocking<Unit> {
            serve {
                if (it is PeerMessage.NoProof) awaitCancellation()
                if (it is PeerMessage.ListUnchanged) delay(600.milliseconds)
                PeerMessage.Done
            }
            client.call(address, PeerMessage.Done).getOrNull() shouldBe PeerMessage.Done
            val slow = scope.async { client.call(address, PeerMessage.ListUnchanged, 5.seconds) }
            val timedOut =
                scope.async { client.call(address, PeerMessage.NoProof, 300.milliseconds) }
            delay(100.milliseconds)
            client.call(address, PeerMessage.Done).getOrNull() shouldBe PeerMessage.Done
            timedOut.await().isLeft() shouldBe true
            slow.await().getOrNull() shouldBe PeerMessage.Done
        }

    @Test
    fun `pending calls fail as soon as their connection is closed`() = runBlocking<Unit> {
        serve { awaitCancellation() }
        val pending = scope.async { client.call(address, PeerMessage.Done, 20.seconds) }
        delay(100.milliseconds)
        val (_, elapsed) = measureTimedValue {
            client.call(address, PeerMessage.Done, 300.milliseconds)
            pending.await().isLeft() shouldBe true
        }
        elapsed shouldBeLessThan 10.seconds
    }

    @Test
    fun `a failure while handling one message does not affect the connection`() =
        runBlocking<Unit> {
            serve { if (it is PeerMessage.NoProof) error("unexpected") else PeerMessage.Done }
            client.call(address, PeerMessage.NoProof, 200.milliseconds).isLeft() shouldBe true
            client.call(address, PeerMessage.Done, 5.seconds).getOrNull() shouldBe PeerMessage.Done
        }

    private suspend fun serve(answer: suspend (PeerMessage) -> PeerMessage) =
        PeerServer({ answer(it) }, DecisionLog.NONE).start(scope, Endpoint(port = port))
}
