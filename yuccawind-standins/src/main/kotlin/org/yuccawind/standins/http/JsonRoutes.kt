package org.yuccawind.standins.http

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServerBuilder
import java.net.InetSocketAddress
import java.time.Duration
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.future.await
import kotlinx.coroutines.future.future
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.yuccawind.core.wire.ZONE_HEADER

private const val LOOPBACK = "127.0.0.1"

/** Valid TCP ports. */
val PORTS = 1..65_535

/** JSON format of the stand-ins. */
val STANDIN_JSON = Json { encodeDefaults = true }

/** Starts an HTTP server on a loopback [port] with the routes that [block] adds. */
fun startServer(port: Int, block: ServerBuilder.() -> Unit): Server {
    val server = Server.builder()
        .http(InetSocketAddress(LOOPBACK, port))
        .requestTimeout(Duration.ZERO)
        .apply(block)
        .build()
    server.start().join()
    return server
}

/** Adds a POST route with a JSON reply; a null reply becomes status 503. */
fun <T> ServerBuilder.post(path: String, serializer: KSerializer<T>, handle: suspend (Call) -> T?) {
    val service = HttpService { context, request ->
        val scope = CoroutineScope(context.eventLoop().withoutContext().asCoroutineDispatcher())
        val response = scope.future {
            val body = request.aggregate().await()
            val reply = handle(Call(body, context::pathParam))
            if (reply == null) {
                HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE)
            } else {
                json(STANDIN_JSON.encodeToString(serializer, reply))
            }
        }
        context.whenRequestCancelled().thenAccept { response.cancel(true) }
        HttpResponse.of(response)
    }
    route().path(path).methods(HttpMethod.POST).build(service)
}

private fun json(text: String) =
    HttpResponse.of(HttpStatus.OK, MediaType.JSON_UTF_8, HttpData.ofUtf8(text))

/** A request with its body and path parameters. */
class Call(private val request: AggregatedHttpRequest, private val parameter: (String) -> String?) {
    /** Availability zone sent by the caller; empty if none. */
    val zone get() = request.headers().get(ZONE_HEADER).orEmpty()

    /** Decodes the body. */
    fun <T> body(serializer: KSerializer<T>): T =
        STANDIN_JSON.decodeFromString(serializer, request.contentUtf8())

    /** Returns the path parameter [name], or an empty string if there is none. */
    fun parameter(name: String) = parameter.invoke(name).orEmpty()
}
