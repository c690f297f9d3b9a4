package org.yuccawind.core.pool

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServerRole
import org.yuccawind.core.model.ServerStatus
import org.yuccawind.core.port.Answer
import org.yuccawind.core.port.BackendConnection
import org.yuccawind.core.port.BackendError
import org.yuccawind.core.port.BackendServer
import org.yuccawind.core.port.Command

/** A fake server that records commands, open connections and concurrency. */
internal class CountingServer(private val limit: Int = 100) : BackendServer {
    override val name = BackendServerName("db-1")
    val open = HashSet<CountingConnection>()
    val commands = ArrayList<Command>()
    var inProgress = 0
    var maxInProgress = 0
    var openTime: Duration = 10.milliseconds
    var statementTime: Duration = 10.milliseconds
    private val end = LogPoint(1, 1)

    override suspend fun status() = ServerStatus(1, end, ServerRole.PRIMARY, 0, open.size).right()

    override suspend fun open(): Either<BackendError, BackendConnection> {
        if (open.size >= limit) return BackendError.NoConnection("full").left()
        val connection = CountingConnection().also(open::add)
        delay(openTime)
        return connection.right()
    }

    override suspend fun fence(term: Long) = status()

    override suspend fun promote(term: Long) = status()

    inner class CountingConnection : BackendConnection {
        var isSilent = false
        var isBusy = false

        override suspend fun execute(command: Command): Either<BackendError, Answer> {
            check(!isBusy) { "two commands at once" }
            check(this in open) { "closed" }
            commands += command
            isBusy = true
            maxInProgress = maxOf(maxInProgress, ++inProgress)
            try {
                if (isSilent) awaitCancellation()
                delay(statementTime)
            } finally {
                inProgress--
                isBusy = false
            }
            return Answer(end).right()
        }

        override suspend fun close() {
            open -= this
        }
    }
}

/** [PoolSignals] with values set by the test. */
internal class MutableSignals(
    override var instanceCount: Int = 1,
    override var status: ServerStatus? = null
) : PoolSignals
