package org.yuccawind.proxy.operator

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.right
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.future.await
import kotlinx.coroutines.future.future
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.port.DecisionLog
import org.yuccawind.core.result.Refusal
import org.yuccawind.core.result.ResultCode
import org.yuccawind.core.wire.AdminReply
import org.yuccawind.core.wire.ApplyCall
import org.yuccawind.core.wire.ApplyView
import org.yuccawind.core.wire.ConfigView
import org.yuccawind.core.wire.HandoverCall
import org.yuccawind.core.wire.HandoverView
import org.yuccawind.core.wire.HistoryView
import org.yuccawind.core.wire.InstancesView
import org.yuccawind.core.wire.OPERATOR_KEY_HEADER
import org.yuccawind.core.wire.RolloutCall
import org.yuccawind.core.wire.RolloutView
import org.yuccawind.core.wire.ServiceStatusView
import org.yuccawind.proxy.http.WIRE_JSON

/**
 * HTTP API for operators: health checks for the platform's load balancer, and administration, which
 * requires the operator key.
 */
internal class OperatorApi(
    private val key: OperatorKey,
    private val config: ConfigAdmin,
    private val services: ServiceAdmin,
    private val log: DecisionLog,
    private val isReady: () -> Boolean
) {
    /** Adds the routes to [builder]. */
    fun addTo(builder: ServerBuilder) {
        builder.service("/health/live") { _, _ -> text(HttpStatus.OK, "live") }
        builder.service("/health/ready") { _, _ ->
            if (isReady()) {
                text(HttpStatus.OK, "ready")
            } else {
                text(HttpStatus.SERVICE_UNAVAILABLE, "not ready")
            }
        }
        builder.addConfigRoutes()
        builder.addServiceRoutes()
    }

    private fun ServerBuilder.addConfigRoutes() {
        addRoute(HttpMethod.GET, "/v1/config", ConfigView.serializer()) { config.show() }
        addRoute(HttpMethod.GET, "/v1/config/history", HistoryView.serializer()) {
            config.history()
        }
        addRoute(HttpMethod.POST, "/v1/config/apply", ApplyView.serializer()) {
            config.apply(it.body(ApplyCall.serializer()).bind()).bind()
        }
        addRoute(HttpMethod.POST, "/v1/config/spread", RolloutView.serializer()) {
            config.rolloutStatus(it.body(RolloutCall.serializer()).bind())
        }
    }

    private fun ServerBuilder.addServiceRoutes() {
        val status = ServiceStatusView.serializer()
        addRoute(HttpMethod.GET, "/v1/instances", InstancesView.serializer()) {
            services.instances()
        }
        addRoute(HttpMethod.GET, "/v1/services", ListSerializer(status)) { services.list() }
        addRoute(HttpMethod.GET, "/v1/services/{service}", status) {
            services.status(it.service).bind()
        }
        addRoute(
            HttpMethod.POST,
            "/v1/services/{service}/handover",
            HandoverView.serializer()
        ) {
            val call = it.body(HandoverCall.serializer()).bind()
            services.handover(it.service, call.to).bind()
        }
    }

    private fun <T> ServerBuilder.addRoute(
        method: HttpMethod,
        path: String,
        serializer: KSerializer<T>,
        handle: suspend Raise<Refusal>.(AdminCall) -> T
    ) {
        val replySerializer = AdminReply.serializer(serializer)
        val service = HttpService { context, request ->
            val scope = CoroutineScope(context.eventLoop().withoutContext().asCoroutineDispatcher())
            val response = scope.future {
                val call = AdminCall(context, request.aggregate().await())
                val result =
                    authorize(call).fold({ either { raise(it) } }, { either { handle(it) } })
                reply(replySerializer, result)
            }
            HttpResponse.of(response)
        }
        route().path(path).methods(method).build(service)
    }

    private fun authorize(call: AdminCall): Either<Refusal, AdminCall> = either {
        if (!key.matches(call.key)) {
            log.record("operator_refused", "remote" to call.remote, "path" to call.path)
            raise(Refusal(ResultCode.UNAUTHORIZED, "header $OPERATOR_KEY_HEADER"))
        }
        call
    }

    private fun <T> reply(
        serializer: KSerializer<AdminReply<T>>,
        result: Either<Refusal, T>
    ): HttpResponse {
        val code = result.fold({ it.code }, { ResultCode.OK })
        val body = AdminReply(
            code.number,
            code.name,
            result.leftOrNull()?.detail,
            result.getOrNull()
        )
        return HttpResponse.of(
            HttpStatus.valueOf(code.httpStatus),
            MediaType.JSON_UTF_8,
            WIRE_JSON.encodeToString(serializer, body)
        )
    }

    private fun text(status: HttpStatus, body: String) =
        HttpResponse.of(status, MediaType.PLAIN_TEXT_UTF_8, "$body\n")

    /** A request to an administration route. */
    private class AdminCall(
        private val context: ServiceRequestContext,
        private val request: AggregatedHttpRequest
    ) {
        val key: String? get() = request.headers().get(OPERATOR_KEY_HEADER)
        val path: String get() = context.path()
        val remote get() = context.remoteAddress()
        val service get() = ServiceName(context.pathParam("service").orEmpty())

        fun <B> body(serializer: KSerializer<B>): Either<Refusal, B> = try {
            WIRE_JSON.decodeFromString(serializer, request.contentUtf8()).right()
        } catch (e: SerializationException) {
            val detail = "body: ${e.message.orEmpty().lineSequence().first()}"
            either { raise(Refusal(ResultCode.BAD_REQUEST, detail)) }
        }
    }
}
