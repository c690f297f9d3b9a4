package org.yuccawind.standins.database

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServerStatus
import org.yuccawind.core.port.Answer
import org.yuccawind.core.port.BackendConnection
import org.yuccawind.core.port.BackendError
import org.yuccawind.core.port.BackendServer
import org.yuccawind.core.port.Command
import org.yuccawind.core.wire.BackendCall
import org.yuccawind.core.wire.BackendReply

private val CALL_TIMEOUT = 500.milliseconds

/**
 * An in-process backend server for tests under virtual time.
 *
 * @property name name of the server
 * @property node the stand-in that serves the calls
 * @property zone availability zone of the caller; cut zones are matched against it
 * @property oneWay one-way message delay
 */
class FakeBackendServer(
    override val name: BackendServerName,
    private val node: DatabaseNode,
    private val zone: AvailabilityZone,
    private val oneWay: Duration = 1.milliseconds
) : BackendServer {
    private val correlations = AtomicLong()

    override suspend fun status() = call { node.status().right() }

    override suspend fun fence(term: Long) = call { node.fence(term).right() }

    override suspend fun promote(term: Long): Either<BackendError, ServerStatus> = call {
        when (val reply = node.promote(term)) {
            is BackendReply.Status -> reply.status.right()
            is BackendReply.Refused -> reply.toError().left()
            else -> error("unexpected reply $reply")
        }
    }

    override suspend fun open(): Either<BackendError, BackendConnection> = call {
        when (val reply = node.open()) {
            is BackendReply.Opened -> FakeConnection(reply.connection).right()
            is BackendReply.Refused -> reply.toError().left()
            else -> error("unexpected reply $reply")
        }
    }

    private suspend fun <T> call(block: suspend () -> Either<BackendError, T>) =
        withTimeoutOrNull(CALL_TIMEOUT) {
            delay(oneWay)
            node.awaitDelivery(zone.value)
            val reply = block()
            delay(oneWay)
            node.awaitDelivery(zone.value)
            reply
        } ?: BackendError.Lost("no answer in $CALL_TIMEOUT").left()

    private inner class FakeConnection(private val id: Long) : BackendConnection {
        override suspend fun execute(command: Command): Either<BackendError, Answer> = call {
            val correlation = correlations.incrementAndGet()
            when (val reply = node.execute(id, BackendCall(correlation, command))) {
                is BackendReply.Answered -> reply.answer.right()
                is BackendReply.Refused -> reply.toError().left()
                else -> error("unexpected reply $reply")
            }
        }

        override suspend fun close() = node.close(id)
    }
}
