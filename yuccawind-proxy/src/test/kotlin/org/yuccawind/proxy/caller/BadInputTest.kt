package org.yuccawind.proxy.caller

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.RequestHeaders
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.net.InetAddress
import java.net.Socket
import kotlin.random.Random
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.yuccawind.core.wire.SESSION_HEADER
import org.yuccawind.proxy.DaemonFixture

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class BadInputTest {
    private val fixture = DaemonFixture()
    private val client = fixture.callers

    @BeforeAll
    fun start() = runBlocking { fixture.startWithOrders() }

    @AfterAll
    fun stop() = runBlocking { fixture.stop() }

    @Test
    fun `an unknown service is refused with its result code`() {
        post("/v1/services/none/read", "{}").contentUtf8() shouldContain "4004"
    }

    @Test
    fun `an invalid session token is refused with its result code`() {
        val headers = RequestHeaders.of(
            HttpMethod.POST,
            "/v1/services/none/read",
            SESSION_HEADER,
            "garbage"
        )
        val response = client.execute(HttpRequest.of(headers)).aggregate().join()
        response.contentUtf8() shouldContain "4003"
    }

    @Test
    fun `an oversized body is refused with its result code`() {
        val response = post("/v1/services/none/read", "x".repeat((1 shl 20) + 1))
        response.contentUtf8() shouldContain "4002"
    }

    @Test
    fun `a body with truncated JSON is refused with its result code`() {
        val response = post("/v1/services/orders/read", """{"statement":"get k","ki""")
        response.contentUtf8() shouldContain "4001"
    }

    @Test
    fun `a read without a primary is refused with a retry-after header`() {
        val body = """{"statement":"get k","deadlineMs":50}"""
        val response = post("/v1/services/orders/read", body)
        response.contentUtf8() shouldContain "NOT_RUN"
        response.headers().get("retry-after") shouldBe "1"
    }

    @Test
    fun `a body truncated in transit fails its own connection only`() {
        val head = "POST /v1/services/orders/read HTTP/1.1\r\nhost: a\r\ncontent-length: 100"
        Socket(InetAddress.getLoopbackAddress(), fixture.callersPort).use { socket ->
            socket.soTimeout = 10_000
            socket.getOutputStream().write("$head\r\n\r\n{\"statement\"".toByteArray())
            socket.shutdownOutput()
            val reply = socket.getInputStream().readAllBytes().decodeToString()
            reply.contains("\"outcome\":\"RAN\"") shouldBe false
        }
        post("/v1/services/orders/read", "{}").contentUtf8() shouldContain "4001"
    }

    @Test
    fun `an unknown path is refused with its result code`() {
        post("/v2/none", "{}").contentUtf8() shouldContain "4006"
    }

    @Test
    fun `random bytes are refused and the server keeps serving`() {
        val random = Random(7)
        repeat(20) {
            Socket(InetAddress.getLoopbackAddress(), fixture.callersPort).use { socket ->
                socket.getOutputStream().write(random.nextBytes(300) + "\r\n\r\n".toByteArray())
                socket.shutdownOutput()
                socket.getInputStream().readAllBytes()
            }
        }
        val reply = Socket(InetAddress.getLoopbackAddress(), fixture.callersPort).use { socket ->
            socket.getOutputStream().write("\u0001\u0002 / \r\n\r\n".toByteArray())
            socket.shutdownOutput()
            socket.getInputStream().readAllBytes().decodeToString()
        }
        reply shouldContain "4001"
        post("/v1/services/none/read", "{}").status().code() shouldBe 404
    }

    private fun post(path: String, body: String): AggregatedHttpResponse =
        client.post(path, body).aggregate().join()
}
