package org.yuccawind.proxy.http

import com.linecorp.armeria.client.ResponseTimeoutException
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import java.time.Duration
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.future.await
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.json.Json
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.wire.ZONE_HEADER
import org.yuccawind.proxy.metrics.TrafficCounter

/** JSON format of all HTTP messages. */
internal val WIRE_JSON = Json {
    encodeDefaults = true
    ignoreUnknownKeys = true
}

/**
 * Posts JSON to one address over HTTP/2. Results distinguish a request that was never sent from a
 * reply that was lost.
 */
internal class JsonClient(
    address: String,
    private val zone: AvailabilityZone,
    timeout: Duration,
    private val traffic: TrafficCounter = TrafficCounter.None
) {
    private val connection = RenewableConnection(address, timeout)

    /** Posts [body] to [path] and decodes the reply. */
    suspend fun <B, R> post(
        path: String,
        encoder: SerializationStrategy<B>,
        body: B,
        decoder: DeserializationStrategy<R>
    ): JsonResult<R> = post(path, WIRE_JSON.encodeToString(encoder, body), decoder)

    /** Posts an empty body to [path] and decodes the reply. */
    suspend fun <R> post(path: String, decoder: DeserializationStrategy<R>): JsonResult<R> =
        post(path, "", decoder)

    private suspend fun <R> post(
        path: String,
        text: String,
        decoder: DeserializationStrategy<R>
    ): JsonResult<R> = try {
        val data = HttpData.ofUtf8(text)
        traffic.countSent(data.length())
        val response = connection.client.execute(headers(path), data).aggregate().await()
        traffic.countReceived(response.content().length())
        connection.onReply()
        if (response.status() == HttpStatus.OK) {
            JsonResult.Replied(WIRE_JSON.decodeFromString(decoder, response.contentUtf8()))
        } else {
            JsonResult.Refused("status ${response.status().code()}")
        }
    } catch (e: CancellationException) {
        throw e
    } catch (e: UnprocessedRequestException) {
        JsonResult.NotSent(e.cause.javaClass.simpleName)
    } catch (e: ResponseTimeoutException) {
        connection.onTimeout()
        JsonResult.Lost("no reply in time")
    } catch (e: Exception) {
        JsonResult.Lost(e.javaClass.simpleName)
    }

    private fun headers(path: String) = RequestHeaders.builder(HttpMethod.POST, path)
        .contentType(MediaType.JSON_UTF_8)
        .add(ZONE_HEADER, zone.value)
        .build()
}

/** Result of a posted request. */
internal sealed interface JsonResult<out R> {
    /** The server replied with [value]. */
    data class Replied<R>(val value: R) : JsonResult<R>

    /** The server replied with an error status; the request had no effect. */
    data class Refused(val detail: String) : JsonResult<Nothing>

    /** The request was never sent. */
    data class NotSent(val detail: String) : JsonResult<Nothing>

    /** The request was sent, but no valid reply arrived; it may have taken effect. */
    data class Lost(val detail: String) : JsonResult<Nothing>
}
