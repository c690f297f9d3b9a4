package org.yuccawind.proxy.peer

import io.kotest.matchers.collections.shouldBeStrictlyIncreasing
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.proxy.metrics.TrafficCounter

/** Replies of another instance that repeat, come late, or follow calls that were given up. */
class PeerRepliesTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val client = KtorPeerClient(scope)

    @AfterEach
    fun stop() = scope.cancel()

    @Test
    fun `a repeated reply is not taken for that of the next call`() = runBlocking<Unit> {
        val address = listen { input, output ->
            while (true) {
                val request = input.readFrame(TrafficCounter.None)
                val reply = request.copy(message = itemsFor(request))
                output.writeFrame(reply, TrafficCounter.None)
                output.writeFrame(reply, TrafficCounter.None)
                scope.launch {
                    delay(5.milliseconds)
                    output.writeFrame(reply, TrafficCounter.None)
                }
                delay(20.milliseconds)
            }
        }
        val replies = List(10) { call(address, "$it") }
        replies shouldBe List(10) { it.toLong() }
    }

    @Test
    fun `a late reply is not taken for that of the next call`() = runBlocking<Unit> {
        val address = listen { input, output ->
            while (true) {
                val request = input.readFrame(TrafficCounter.None)
                if (itemsFor(request).revision == 1L) delay(400.milliseconds)
                output.writeFrame(request.copy(message = itemsFor(request)), TrafficCounter.None)
            }
        }
        call(address, "0") shouldBe 0
        call(address, "1", 100.milliseconds) shouldBe null
        call(address, "2") shouldBe 2
    }

    @Test
    fun `calls given up while the instance does not read leave no part of a frame`() =
        runBlocking<Unit> {
            val sequences = CopyOnWriteArrayList<Long>()
            val readsOn = CompletableDeferred<Unit>()
            val lastRead = CompletableDeferred<Unit>()
            val address = listen { input, output ->
                val first = input.readFrame(TrafficCounter.None)
                sequences += first.sequence
                while (!readsOn.isCompleted) {
                    // Keeps the caller from taking the connection for broken.
                    output.writeFrame(first.copy(sequence = -1), TrafficCounter.None)
                    delay(10.milliseconds)
                }
                while (true) {
                    val request = input.readFrame(TrafficCounter.None)
                    sequences += request.sequence
                    if (request.message == PeerMessage.Done) lastRead.complete(Unit)
                }
            }
            call(address, "0", 100.milliseconds) shouldBe null
            val large = "1".padStart(LARGE_CHARS, '0')
            repeat(30) { call(address, large, 100.milliseconds) shouldBe null }
            val last = scope.async { client.call(address, PeerMessage.Done, 20.seconds) }
            delay(50.milliseconds)
            readsOn.complete(Unit)
            lastRead.await()
            last.cancel()
            sequences.shouldBeStrictlyIncreasing()
            sequences.size shouldBeGreaterThan 2
        }

    private suspend fun call(address: String, number: String, limit: Duration = 5.seconds): Long? {
        val request = PeerMessage.ItemsWanted(number, 0, 0, 0)
        val reply = client.call(address, request, limit).getOrNull()
        return (reply as PeerMessage.Items?)?.revision
    }

    private fun itemsFor(request: PeerFrame): PeerMessage.Items {
        val number = (request.message as PeerMessage.ItemsWanted).prefix.toLong()
        return PeerMessage.Items(revision = number, ageUs = 0, items = null, era = 0)
    }

    /** Serves each connection with [serve]. Returns the address. */
    private suspend fun listen(serve: suspend (ByteReadChannel, ByteWriteChannel) -> Unit): String {
        val server = aSocket(SelectorManager(Dispatchers.IO)).tcp().bind("127.0.0.1", 0)
        scope.launch {
            while (true) {
                val socket = server.accept()
                scope.launch { serve(socket.openReadChannel(), socket.openWriteChannel()) }
            }
        }
        return "127.0.0.1:${(server.localAddress as InetSocketAddress).port}"
    }

    private companion object {
        const val LARGE_CHARS = 900_000
    }
}
