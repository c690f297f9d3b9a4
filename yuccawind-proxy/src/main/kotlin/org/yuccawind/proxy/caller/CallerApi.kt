package org.yuccawind.proxy.caller

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.future.await
import kotlinx.coroutines.future.future
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.RequestId
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.read.ReadRequest
import org.yuccawind.core.result.Refusal
import org.yuccawind.core.result.ResultCode
import org.yuccawind.core.service.NodeContext
import org.yuccawind.core.service.ServiceDirectory
import org.yuccawind.core.service.ServiceRuntime
import org.yuccawind.core.session.SessionToken
import org.yuccawind.core.transaction.TransactionHandle
import org.yuccawind.core.transaction.TransactionRouter
import org.yuccawind.core.wire.SESSION_HEADER
import org.yuccawind.core.write.WriteRequest
import org.yuccawind.core.write.WriteResult
import org.yuccawind.proxy.http.WIRE_JSON

private const val MAX_DEADLINE_MS = 60_000L

/** HTTP API for callers. */
internal class CallerApi(
    private val node: NodeContext,
    private val directory: ServiceDirectory,
    private val transactions: TransactionRouter,
    private val requestMetrics: RequestMetrics = RequestMetrics { _, _, _ -> }
) {
    private val inProgress = AtomicInteger()
    private val scopes = EventLoopScopes()

    /** Number of requests in progress. */
    val pending get() = inProgress.get()

    /** True once this instance accepts no new transactions. */
    @Volatile
    var isDraining = false

    /** Adds the routes to [builder]. */
    fun addTo(builder: ServerBuilder) {
        val service = "/v1/services/{service}"
        builder.post("$service/read") { read(it) }
        builder.post("$service/write") { write(it) }
        builder.post("$service/transactions") { begin(it) }
        builder.post("$service/transactions/{handle}/execute") { execute(it) }
        builder.post("$service/transactions/{handle}/commit") { commit(it) }
        builder.post("$service/transactions/{handle}/rollback") { rollback(it) }
        builder.route().path("$service/requests/{id}").methods(HttpMethod.GET)
            .build(service("requests") { outcome(it) })
    }

    private suspend fun Raise<Refusal>.read(call: CallerCall): HttpResponse {
        val body = call.body(ReadBody.serializer()).bind()
        val kind = call.runtime.config.readKind(body.kind)
            ?: raise(Refusal(ResultCode.NO_SUCH_KIND, "kind ${body.kind}"))
        val sessionPoint = call.session.pointOf(call.service)
        val deadline = call.deadline(body.deadlineMs).bind()
        val request = ReadRequest(body.statement, kind, sessionPoint, call.arrivedAt, deadline)
        val result = call.runtime.reads.read(request).bind()
        val answer = ResultCode.OK.toAnswer().copy(
            rows = result.rows,
            server = result.server.value,
            ageMs = result.age?.inWholeMilliseconds
        )
        return answer.toResponse(call.session.advance(call.service, result.end))
    }

    private suspend fun Raise<Refusal>.write(call: CallerCall): HttpResponse {
        val body = call.body(WriteBody.serializer()).bind()
        if (body.statements.isEmpty()) raise(badRequest("statements: found none"))
        val deadline = call.deadline(body.deadlineMs).bind()
        val request = WriteRequest(
            body.requestId,
            body.statements,
            body.repeatable,
            deadline,
            body.isRetry
        )
        return writeResponse(call, call.runtime.writes.write(request).bind())
    }

    private suspend fun Raise<Refusal>.outcome(call: CallerCall): HttpResponse {
        val id = RequestId(call.parameter("id"))
        return writeResponse(
            call,
            call.runtime.writes.resolve(id, call.deadline(null).bind()).bind()
        )
    }

    private suspend fun Raise<Refusal>.begin(call: CallerCall): HttpResponse {
        if (isDraining) raise(Refusal(ResultCode.SHUTTING_DOWN, "use another instance", 0))
        val handle = call.runtime.transactions.begin(call.deadline(null).bind()).bind()
        val answer = ResultCode.OK.toAnswer().copy(transaction = handle.toString())
        return answer.toResponse(call.session)
    }

    private suspend fun Raise<Refusal>.execute(call: CallerCall): HttpResponse {
        val body = call.body(ExecuteBody.serializer()).bind()
        val deadline = call.deadline(null).bind()
        val rows =
            transactions.execute(call.runtime, handle(call), body.statement, deadline).bind()
        return ResultCode.OK.toAnswer().copy(rows = rows).toResponse(call.session)
    }

    private suspend fun Raise<Refusal>.commit(call: CallerCall): HttpResponse {
        val body = call.body(CommitBody.serializer()).bind()
        val deadline = call.deadline(null).bind()
        val result = transactions.commit(call.runtime, handle(call), body.requestId, deadline)
        return writeResponse(call, result.bind())
    }

    private suspend fun Raise<Refusal>.rollback(call: CallerCall): HttpResponse {
        transactions.rollback(call.runtime, handle(call), call.deadline(null).bind()).bind()
        return ResultCode.OK.toAnswer().toResponse(call.session)
    }

    private fun Raise<Refusal>.handle(call: CallerCall) =
        TransactionHandle.parse(call.parameter("handle"))
            ?: raise(badRequest("transaction handle: expected instance:id"))

    private fun writeResponse(call: CallerCall, result: WriteResult): HttpResponse {
        val answer = result.code.toAnswer().copy(rows = result.rows, server = result.server.value)
        return answer.toResponse(call.session.advance(call.service, result.point))
    }

    private fun ServerBuilder.post(
        path: String,
        handle: suspend Raise<Refusal>.(CallerCall) -> HttpResponse
    ) {
        val operation = path.substringAfterLast('/')
        route().path(path).methods(HttpMethod.POST).build(service(operation, handle))
    }

    private fun service(
        operation: String,
        handle: suspend Raise<Refusal>.(CallerCall) -> HttpResponse
    ) = HttpService { context, request ->
        val scope = scopes.of(context.eventLoop().withoutContext())
        val response = scope.future(start = CoroutineStart.UNDISPATCHED) {
            inProgress.incrementAndGet()
            try {
                val arrivedAt = node.time.markNow()
                val reply = dispatch(context, request.aggregate().await(), arrivedAt, handle)
                requestMetrics.record(operation, reply.leftOrNull()?.code, arrivedAt.elapsedNow())
                reply.fold({ it.toResponse() }, { it })
            } finally {
                inProgress.decrementAndGet()
            }
        }
        HttpResponse.of(response)
    }

    private suspend fun dispatch(
        context: ServiceRequestContext,
        request: AggregatedHttpRequest,
        arrivedAt: ComparableTimeMark,
        handle: suspend Raise<Refusal>.(CallerCall) -> HttpResponse
    ): Either<Refusal, HttpResponse> = either {
        val session = SessionToken.decode(request.headers().get(SESSION_HEADER)).bind()
        val service = ServiceName(context.pathParam("service").orEmpty())
        val transaction = context.pathParam("handle")?.let(TransactionHandle::parse)
        directory.use(service, transaction) { runtime ->
            handle(CallerCall(context, request, service, runtime, session, arrivedAt))
        } ?: raise(Refusal(ResultCode.NO_SUCH_SERVICE, "service $service"))
    }

    /** A caller's request with the service, session and arrival time that every handler needs. */
    private class CallerCall(
        private val context: ServiceRequestContext,
        private val request: AggregatedHttpRequest,
        val service: ServiceName,
        val runtime: ServiceRuntime,
        val session: SessionToken,
        val arrivedAt: ComparableTimeMark
    ) {
        fun parameter(name: String) = context.pathParam(name).orEmpty()

        fun <T> body(serializer: DeserializationStrategy<T>): Either<Refusal, T> = either {
            try {
                WIRE_JSON.decodeFromString(serializer, request.contentUtf8())
            } catch (e: SerializationException) {
                raise(badRequest("body: ${e.message.orEmpty().lineSequence().first()}"))
            }
        }

        fun deadline(requestedMs: Long?): Either<Refusal, ComparableTimeMark> = either {
            val ms = requestedMs ?: runtime.config.deadlineMs
            if (ms !in 1..MAX_DEADLINE_MS) {
                raise(badRequest("deadlineMs: found $ms, allowed 1 to $MAX_DEADLINE_MS"))
            }
            arrivedAt + ms.milliseconds
        }
    }
}

private fun badRequest(detail: String) = Refusal(ResultCode.BAD_REQUEST, detail)
