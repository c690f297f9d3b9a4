package org.yuccawind.standins.scenario

import arrow.core.Either
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServerStatus
import org.yuccawind.core.port.Answer
import org.yuccawind.core.port.BackendConnection
import org.yuccawind.core.port.BackendError
import org.yuccawind.core.port.BackendServer
import org.yuccawind.core.port.Command

/** Transports commands to a server and their replies back; tests inject losses and errors here. */
fun interface CommandTransport {
    suspend fun transmit(
        server: BackendServerName,
        command: Command,
        send: suspend () -> Either<BackendError, Answer>
    ): Either<BackendError, Answer>
}

/**
 * A fault injected into a decision, for tests that show what the decision prevents.
 *
 * @property command replaces a command before it is sent
 * @property status replaces a status before it is used as evidence
 */
class DecisionFault(
    val command: (Command) -> Command = { it },
    val status: (ServerStatus) -> ServerStatus = { it }
)

/** A server with a [CommandTransport] and a [DecisionFault] between it and the instances. */
class LossyServer(
    private val inner: BackendServer,
    private val fault: () -> DecisionFault,
    private val transport: () -> CommandTransport
) : BackendServer by inner {
    override suspend fun status(): Either<BackendError, ServerStatus> =
        inner.status().map(fault().status)

    override suspend fun open(): Either<BackendError, BackendConnection> =
        inner.open().map(::LossyConnection)

    private inner class LossyConnection(private val connection: BackendConnection) :
        BackendConnection by connection {
        override suspend fun execute(command: Command): Either<BackendError, Answer> =
            transport().transmit(name, command) { connection.execute(fault().command(command)) }
    }
}
