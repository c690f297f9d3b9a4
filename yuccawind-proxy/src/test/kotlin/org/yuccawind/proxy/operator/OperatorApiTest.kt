package org.yuccawind.proxy.operator

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.RequestHeaders
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.yuccawind.core.wire.OPERATOR_KEY_HEADER
import org.yuccawind.proxy.DaemonFixture

private const val KEY = "0123456789abcdef"

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class OperatorApiTest {
    private val fixture = DaemonFixture(KEY)
    private val daemon = fixture.daemon
    private val client = fixture.operators

    @BeforeAll
    fun start() = runBlocking { daemon.start() }

    @AfterAll
    fun stop() = runBlocking { daemon.stop() }

    @Test
    fun `a missing or wrong key is refused on every path without leaking the key`() {
        for (key in listOf(null, "", KEY.dropLast(1), KEY + "0")) {
            for (path in listOf("/v1/config", "/v1/instances", "/v1/services")) {
                val response = send(HttpMethod.GET, path, key)
                response.status().code() shouldBe 401
                response.contentUtf8() shouldContain "4008"
                response.contentUtf8() shouldNotContain KEY
            }
        }
    }

    @Test
    fun `the records of this instance are shown when the platform is unavailable`() {
        val response = send(HttpMethod.GET, "/v1/config", KEY)
        response.status().code() shouldBe 200
        response.contentUtf8() shouldContain "\"ageMs\":null"
    }

    @Test
    fun `a change is refused when the platform is unavailable`() {
        apply(body("10.0.0.1:5432")).contentUtf8() shouldContain "5003"
    }

    @Test
    fun `an invalid change is refused with the invalid field`() {
        val text = apply(body("database:5432")).contentUtf8()
        text shouldContain "5001"
        text shouldContain "services[0].backendServers[0].address"
    }

    @Test
    fun `malformed JSON and an unknown service are refused with their result codes`() {
        apply("{").contentUtf8() shouldContain "4001"
        send(HttpMethod.GET, "/v1/services/none", KEY).contentUtf8() shouldContain "4004"
    }

    private fun apply(body: String) = send(HttpMethod.POST, "/v1/config/apply", KEY, body)

    private fun body(address: String) = """
        {"services":[{"name":"pairing","backendServers":
        [{"name":"db-1","zone":"a","address":"$address"}]}],
        "deleted":[],"revision":null,"author":"op","nonce":"n1"}
    """.trimIndent()

    private fun send(
        method: HttpMethod,
        path: String,
        key: String?,
        body: String = ""
    ): AggregatedHttpResponse {
        val headers = RequestHeaders.builder(method, path)
        key?.let { headers.add(OPERATOR_KEY_HEADER, it) }
        val request = HttpRequest.of(headers.build(), HttpData.ofUtf8(body))
        return client.execute(request).aggregate().join()
    }
}
