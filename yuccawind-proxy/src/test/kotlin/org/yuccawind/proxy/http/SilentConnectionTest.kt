package org.yuccawind.proxy.http

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.Server
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.time.Duration
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.builtins.serializer
import org.junit.jupiter.api.Test
import org.yuccawind.core.model.AvailabilityZone

class SilentConnectionTest {
    private val server = Server.builder().http(0)
        .service("/ask") { _, _ -> HttpResponse.of(HttpStatus.OK, MediaType.JSON_UTF_8, "true") }
        .build()

    @Test
    fun `a client replaces a connection that has gone silent`() = runBlocking {
        server.start().join()
        BlackholeRelay(server.activeLocalPort()).use { relay ->
            val zone = AvailabilityZone("a")
            val client = JsonClient("127.0.0.1:${relay.port}", zone, Duration.ofMillis(200))
            client.ask() shouldBe JsonResult.Replied(true)
            relay.blackhole()
            val lost = generateSequence { runBlocking { client.ask() } }
                .take(MAX_ATTEMPTS)
                .takeWhile { it !is JsonResult.Replied }
                .onEach { it.shouldBeInstanceOf<JsonResult.Lost>() }
                .count()
            lost shouldBeLessThanOrEqual MAX_CONSECUTIVE_TIMEOUTS
            client.ask() shouldBe JsonResult.Replied(true)
        }
        server.stop().join()
        Unit
    }

    private suspend fun JsonClient.ask() = post("/ask", Boolean.serializer())

    private companion object {
        const val MAX_ATTEMPTS = 10
    }
}
