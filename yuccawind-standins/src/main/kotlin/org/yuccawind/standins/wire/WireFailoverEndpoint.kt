package org.yuccawind.standins.wire

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import java.util.concurrent.ConcurrentHashMap
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/**
 * The platform endpoint for failover orders; refuses orders with an outdated fencing token.
 *
 * @property promote promotes a server, given the service and the name of the server
 */
class WireFailoverEndpoint(private val promote: (String, String) -> Unit) {
    private val tokens = ConcurrentHashMap<String, Long>()

    /** Adds the route to [builder]. */
    fun addTo(builder: ServerBuilder) {
        val service = HttpService { _, request ->
            HttpResponse.of(
                request.aggregate().thenApply {
                    val token = it.headers().getLong("Yuccawind-Fencing-Token", 0)
                    handle(it.contentUtf8(), token)
                }
            )
        }
        builder.route().path("/failover").methods(HttpMethod.POST).build(service)
    }

    private fun handle(body: String, token: Long): HttpResponse {
        val order = Json.parseToJsonElement(body).jsonObject
        val group = order.getValue("service").jsonPrimitive.content
        val highest = tokens.merge(group, token, ::maxOf) ?: token
        if (highest > token) return HttpResponse.of(HttpStatus.CONFLICT)
        promote(group, order.getValue("id").jsonPrimitive.content)
        return HttpResponse.of(HttpStatus.OK)
    }
}
