package org.yuccawind.standins.database

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.yuccawind.core.model.ServerStatus
import org.yuccawind.core.port.Answer
import org.yuccawind.core.port.Command
import org.yuccawind.core.wire.BackendCall
import org.yuccawind.core.wire.BackendReply
import org.yuccawind.core.wire.RefusalReason
import org.yuccawind.standins.network.LinkModel

private val REPLICATION_PERIOD = 2.milliseconds
private const val REPLICATION_BATCH = 512

/**
 * A database stand-in: adds connections, slots, replication and faults to a [DatabaseModel].
 *
 * The same class serves HTTP and runs in tests under virtual time.
 */
class DatabaseNode(
    private val settings: DatabaseSettings,
    time: TimeSource.WithComparableMarks,
    private val link: LinkModel? = null,
    journal: DatabaseJournal = DatabaseJournal.NONE,
    firstConnection: Long = 0
) {
    private val model = DatabaseModel(time, journal)
    private val connections = ConcurrentHashMap<Long, Connection>()
    private val nextConnection = AtomicLong(firstConnection)
    private val busySlots = AtomicInteger()
    private val slots = Semaphore(settings.slots)
    private val faults = MutableStateFlow(DatabaseFaults())
    private val lag get() = faults.value.lagMs?.milliseconds ?: settings.lag

    /** Replaces the injected faults by [next]. */
    fun inject(next: DatabaseFaults) {
        if (next.silence > faults.value.silence) connections.values.forEach { it.isSilent = true }
        faults.value = next
    }

    /**
     * Simulates the delivery of one message between this server and [zone]: applies the link delay,
     * then suspends while the server is frozen or [zone] is cut off.
     */
    suspend fun awaitDelivery(zone: String) {
        link?.delayMessage(zone)
        faults.first { !it.frozen && zone !in it.cutZones }
    }

    /** Returns the fence, the end of the log, the role and the load. */
    fun status(): ServerStatus =
        model.status().copy(busySlots = busySlots.get(), openConnections = connections.size)

    /** Rejects terms below [term]; open transactions of lower terms can no longer commit. */
    fun fence(term: Long): ServerStatus = model.fence(term)

    /** Makes this server the primary of [term]. */
    fun promote(term: Long): BackendReply = model.promote(term)

    /** Appends entries received from a primary. */
    fun replicate(call: ReplicateCall): ReplicateReply = model.replicate(call)

    /** Opens a connection. */
    suspend fun open(): BackendReply {
        if (connections.size >= settings.connections) {
            return BackendReply.Refused(RefusalReason.NO_CONNECTION, "connection limit reached")
        }
        val id = nextConnection.incrementAndGet()
        connections[id] = Connection()
        delay(settings.connectionTime)
        return BackendReply.Opened(id)
    }

    /** Closes a connection; its transaction is rolled back. */
    fun close(connection: Long) {
        connections.remove(connection)
    }

    /** Runs one command on an open connection. */
    suspend fun execute(connection: Long, call: BackendCall): BackendReply {
        val state = connections[connection]
            ?: return BackendReply.Refused(RefusalReason.NO_CONNECTION, "no such connection")
        if (state.isSilent) awaitCancellation()
        val reply = slots.withPermit {
            busySlots.incrementAndGet()
            try {
                delay(settings.statementTime)
                run(state, call)
            } finally {
                busySlots.decrementAndGet()
            }
        }
        if (state.isSilent) awaitCancellation()
        return reply
    }

    /** Replicates to the other servers of the group until cancelled. */
    suspend fun replicateTo(links: List<ReplicaLink>): Unit = coroutineScope {
        for (link in links) launch { replicateOver(link) }
    }

    private suspend fun replicateOver(link: ReplicaLink) {
        var from = 0L
        while (true) {
            val call = model.entriesAfter(from, lag, REPLICATION_BATCH)
            val reply = call?.let { link.replicate(it) }
            if (reply != null) from = reply.length
            val isBehind = reply != null && call.entries.size == REPLICATION_BATCH
            if (!isBehind) delay(REPLICATION_PERIOD)
        }
    }

    private fun run(state: Connection, call: BackendCall): BackendReply {
        val validationError =
            statementsOf(call.command).firstNotNullOfOrNull(Statement::validationError)
        if (validationError != null) {
            state.transaction = null
            return BackendReply.Refused(RefusalReason.STATEMENT, validationError)
        }
        val answer = answer(state, call.command)
            ?: return BackendReply.Refused(RefusalReason.NOT_PRIMARY, "not the primary of the term")
        return BackendReply.Answered(call.correlation, answer)
    }

    private fun answer(state: Connection, command: Command): Answer? = when (command) {
        is Command.Query -> model.query(listOf(command.statement))

        is Command.Apply -> model.commit(command.term, command.statements, command.requestId)

        is Command.Begin -> begin(state, command.term)

        is Command.Execute -> state.transaction?.let { executeInTransaction(it, command.statement) }

        is Command.Commit -> state.transaction?.let { open ->
            state.transaction = null
            model.commit(open.term, open.writes, command.requestId)
        }

        is Command.Find -> model.resolve(command.term, command.requestId, cancel = false)

        is Command.Cancel -> model.resolve(command.term, command.requestId, cancel = true)

        Command.Rollback, Command.Reset -> {
            state.transaction = null
            Answer(model.status().end)
        }
    }

    private fun begin(state: Connection, term: Long): Answer? {
        if (!model.isPrimaryOf(term)) return null
        state.transaction = Transaction(term)
        return Answer(model.status().end)
    }

    private fun executeInTransaction(transaction: Transaction, statement: String): Answer? {
        if (!model.isPrimaryOf(transaction.term)) return null
        val answer = model.query(transaction.writes + statement)
        if (Statement.isWrite(statement)) transaction.writes += statement
        return answer
    }

    private fun statementsOf(command: Command) = when (command) {
        is Command.Query -> listOf(command.statement)
        is Command.Apply -> command.statements
        is Command.Execute -> listOf(command.statement)
        else -> emptyList()
    }

    private class Connection {
        @Volatile
        var isSilent = false

        @Volatile
        var transaction: Transaction? = null
    }

    private class Transaction(val term: Long) {
        val writes = ArrayList<String>()
    }
}

/** Sends log entries from a primary to one replica. */
fun interface ReplicaLink {
    /** Sends [call] and returns the reply, or null if none was received. */
    suspend fun replicate(call: ReplicateCall): ReplicateReply?
}
