package org.yuccawind.proxy.backend

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import java.time.Duration
import java.util.concurrent.atomic.AtomicLong
import kotlinx.serialization.builtins.serializer
import org.yuccawind.core.config.BackendServerConfig
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.ServerStatus
import org.yuccawind.core.port.Answer
import org.yuccawind.core.port.BackendConnection
import org.yuccawind.core.port.BackendError
import org.yuccawind.core.port.BackendServer
import org.yuccawind.core.port.Command
import org.yuccawind.core.wire.BackendCall
import org.yuccawind.core.wire.BackendReply
import org.yuccawind.core.wire.TermCall
import org.yuccawind.proxy.http.JsonClient
import org.yuccawind.proxy.http.JsonResult
import org.yuccawind.proxy.metrics.TrafficCounter

private val CONTROL_TIMEOUT = Duration.ofMillis(500)
private val STATEMENT_TIMEOUT = Duration.ofMillis(2_000)

// Cached: serializer() of a sealed interface creates a new serializer on each call.
private val REPLY_SERIALIZER = BackendReply.serializer()
private val CALL_SERIALIZER = BackendCall.serializer()

/** Client of one backend server over HTTP. */
internal class HttpBackendServer(
    config: BackendServerConfig,
    zone: AvailabilityZone,
    traffic: TrafficCounter = TrafficCounter.None
) : BackendServer {
    override val name = config.name
    private val controlClient = JsonClient(config.address, zone, CONTROL_TIMEOUT, traffic)
    private val statementClient = JsonClient(config.address, zone, STATEMENT_TIMEOUT)
    private val lastCorrelation = AtomicLong()

    override suspend fun status(): Either<BackendError, ServerStatus> =
        toReply(controlClient.post("/status", REPLY_SERIALIZER)).flatMap(::statusOf)

    override suspend fun fence(term: Long): Either<BackendError, ServerStatus> =
        termCall("/fence", term)

    override suspend fun promote(term: Long): Either<BackendError, ServerStatus> =
        termCall("/promote", term)

    override suspend fun open(): Either<BackendError, BackendConnection> =
        toReply(statementClient.post("/open", REPLY_SERIALIZER)).flatMap { reply ->
            (reply as? BackendReply.Opened)?.let { HttpConnection(it.connection).right() }
                ?: unexpected(reply)
        }

    private suspend fun termCall(path: String, term: Long): Either<BackendError, ServerStatus> {
        val result =
            controlClient.post(path, TermCall.serializer(), TermCall(term), REPLY_SERIALIZER)
        return toReply(result).flatMap(::statusOf)
    }

    private fun statusOf(reply: BackendReply): Either<BackendError, ServerStatus> =
        (reply as? BackendReply.Status)?.status?.right() ?: unexpected(reply)

    private fun toReply(result: JsonResult<BackendReply>): Either<BackendError, BackendReply> =
        when (result) {
            is JsonResult.Replied -> when (val reply = result.value) {
                is BackendReply.Refused -> reply.toError().left()
                else -> reply.right()
            }

            is JsonResult.Refused -> BackendError.Lost(result.detail).left()

            is JsonResult.NotSent -> BackendError.NotSent(result.detail).left()

            is JsonResult.Lost -> BackendError.Lost(result.detail).left()
        }

    private fun unexpected(reply: BackendReply): Either<BackendError, Nothing> =
        BackendError.Lost("unexpected reply ${reply::class.simpleName}").left()

    private inner class HttpConnection(private val id: Long) : BackendConnection {
        override suspend fun execute(command: Command): Either<BackendError, Answer> {
            val call = BackendCall(lastCorrelation.incrementAndGet(), command)
            val result = statementClient.post(
                "/connections/$id/execute",
                CALL_SERIALIZER,
                call,
                REPLY_SERIALIZER
            )
            return toReply(result).flatMap { answerOf(call, it) }
        }

        override suspend fun close() {
            controlClient.post("/connections/$id/close", Boolean.serializer())
        }

        private fun answerOf(call: BackendCall, reply: BackendReply): Either<BackendError, Answer> {
            if (reply !is BackendReply.Answered) return unexpected(reply)
            if (reply.correlation == call.correlation) return reply.answer.right()
            return BackendError.Lost("answer of another command").left()
        }
    }
}
