package org.yuccawind.cli

import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.TimeoutException
import java.io.IOException
import java.time.Duration
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.yuccawind.core.wire.AdminReply
import org.yuccawind.core.wire.OPERATOR_KEY_HEADER

private val TIMEOUT = Duration.ofSeconds(15)
private const val MAX_ATTEMPTS = 3
private const val RETRY_DELAY_MS = 300L

/** The JSON encoding of the administration interface. */
internal val ADMIN_JSON = Json {
    encodeDefaults = true
    ignoreUnknownKeys = true
    prettyPrint = true
}

/** Client of the administration interface of one instance. Every call is idempotent. */
internal class AdminClient(settings: CliSettings) {
    private val address = settings.address
        ?: failUsage("address of the instance is missing; set --address or --settings")
    private val key = settings.operatorKey
        ?: failUsage("operator key is missing; set --key-file or --settings")
    private val client = WebClient.builder("http://$address").responseTimeout(TIMEOUT).build()

    /** Sends a GET request to [path]. */
    suspend fun <T> get(path: String, serializer: KSerializer<T>): AdminReply<T> =
        send(HttpMethod.GET, path, "", serializer)

    /** Sends [body] to [path] in a POST request. */
    suspend fun <B, T> post(
        path: String,
        encoder: KSerializer<B>,
        body: B,
        serializer: KSerializer<T>
    ): AdminReply<T> =
        send(HttpMethod.POST, path, ADMIN_JSON.encodeToString(encoder, body), serializer)

    private suspend fun <T> send(
        method: HttpMethod,
        path: String,
        body: String,
        serializer: KSerializer<T>
    ): AdminReply<T> {
        val response = sendWithRetries(method, path, body)
        return try {
            val replySerializer = AdminReply.serializer(serializer)
            ADMIN_JSON.decodeFromString(replySerializer, response.contentUtf8())
        } catch (e: SerializationException) {
            fail("$address$path: status ${response.status().code()} is not a yuccawind reply")
        }
    }

    /** Retries requests without a response. A change carries a nonce, so it is applied once. */
    private suspend fun sendWithRetries(
        method: HttpMethod,
        path: String,
        body: String
    ): AggregatedHttpResponse {
        val headers = RequestHeaders.builder(method, path)
            .contentType(MediaType.JSON_UTF_8)
            .add(OPERATOR_KEY_HEADER, key)
            .build()
        var reason = ""
        repeat(MAX_ATTEMPTS) {
            try {
                return client.execute(headers, HttpData.ofUtf8(body)).aggregate().await()
            } catch (e: UnprocessedRequestException) {
                reason = e.cause.javaClass.simpleName
            } catch (e: IOException) {
                reason = e.javaClass.simpleName
            } catch (e: TimeoutException) {
                reason = e.javaClass.simpleName
            }
            delay(RETRY_DELAY_MS)
        }
        fail("$address: no response ($reason)")
    }
}
