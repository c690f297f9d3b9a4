package org.yuccawind.standins.wire

import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServerRole
import org.yuccawind.standins.database.DatabaseFaults
import org.yuccawind.standins.database.DatabaseModel
import org.yuccawind.standins.database.DatabaseSettings

/** Interval between checks whether enough replicas have received a commit. */
private val COMMIT_CHECK_PERIOD = 1.milliseconds

/**
 * A database that serves the line protocol and is promoted by an external order.
 *
 * @property service service whose group the database belongs to
 * @property name name of the server
 * @property settings capacity and delays
 */
class WireDatabase(
    val service: String,
    val name: String,
    val settings: DatabaseSettings,
    time: TimeSource.WithComparableMarks
) {
    private val faults = MutableStateFlow(DatabaseFaults())
    private val slots = Semaphore(settings.slots)
    private val openConnections = AtomicInteger()
    private val nextConnection = AtomicLong()
    private val nextReceipt = AtomicLong()
    private val nextTransaction = AtomicLong()

    internal val model = DatabaseModel(time)

    /** Client statements executed here, in order. */
    val executions = CopyOnWriteArrayList<StatementExecution>()

    /** Answers to statements, in order, as they were before the faults of [answerFaults]. */
    val answers = CopyOnWriteArrayList<AnswerRecord>()

    /** Identifiers of the writes committed here as primary, in order. */
    val committedWrites = CopyOnWriteArrayList<String>()

    /** Injected faults of the answers. */
    @Volatile
    var answerFaults = AnswerFaults()
        private set

    @Volatile
    internal var faultRandom = Random(answerFaults.seed)
        private set

    private val lagRefusals = AtomicInteger()

    /** Number of statements refused because the log had not reached the required position. */
    val refusedForLag get() = lagRefusals.get()

    private val connectionRefusals = AtomicInteger()

    /** Number of connections refused because the limit was reached. */
    val refusedForConnections get() = connectionRefusals.get()

    /** Number of open connections. */
    val connections get() = openConnections.get()

    /** Number of connections opened since the start, including refused ones. */
    val connectionsOpened get() = nextConnection.get()

    /** Current replication lag. */
    val lag get() = faults.value.lagMs?.milliseconds ?: settings.lag

    /** End of the log. */
    val end: LogPoint get() = model.status().end

    /** True while this server is the primary of its group. */
    val isPrimary get() = model.status().role == ServerRole.PRIMARY

    /** Replaces the injected faults by [next]. */
    fun inject(next: DatabaseFaults) {
        faults.value = next
    }

    /** Replaces the injected faults of the answers by [next], also on open connections. */
    fun inject(next: AnswerFaults) {
        faultRandom = Random(next.seed)
        answerFaults = next
    }

    /** Term below which this server receives no log entries; 0 if replication is not paused. */
    @Volatile
    var pausedBelowTerm = 0L
        private set

    /** True while replication to this server is paused. */
    val isPaused get() = pausedBelowTerm > 0

    /** Returns the number of other databases of the group that have received a log point. */
    internal var countCopies: (LogPoint) -> Int = { 0 }

    /** True after this server stepped down as primary, until the next promotion in its group. */
    @Volatile
    internal var hasSteppedDown = false

    /** Makes this server a replica if [term] is above every term that it knows. */
    fun stepDown(term: Long) {
        if (term <= model.status().fence) return
        hasSteppedDown = isPrimary
        model.fence(term)
    }

    /** Pauses replication to this server if [term] is above every term that it knows. */
    fun pause(term: Long) {
        if (term > model.status().fence) pausedBelowTerm = term
    }

    internal fun resume() {
        pausedBelowTerm = 0
    }

    /**
     * Suspends until [DatabaseSettings.syncReplicas] replicas have received the log up to [end].
     * Returns false if another server becomes the primary before.
     */
    internal suspend fun awaitReplicated(end: LogPoint): Boolean {
        while (isPrimary || hasSteppedDown) {
            if (countCopies(end) >= settings.syncReplicas) return true
            delay(COMMIT_CHECK_PERIOD)
        }
        return false
    }

    /** Opens a connection. */
    fun connect() = WireSession(this, nextConnection.incrementAndGet(), faults.value.silence)

    /**
     * Suspends while the server is frozen, and indefinitely if [DatabaseFaults.silence] exceeds
     * [silenceAtOpen], its value when the connection was opened.
     */
    internal suspend fun awaitResponsive(silenceAtOpen: Int) {
        faults.first { !it.frozen }
        if (faults.value.silence > silenceAtOpen) awaitCancellation()
    }

    /** Reserves a connection; returns false if the limit is reached. */
    internal fun tryOpenConnection(): Boolean {
        if (openConnections.incrementAndGet() <= settings.connections) return true
        openConnections.decrementAndGet()
        connectionRefusals.incrementAndGet()
        return false
    }

    internal fun releaseConnection() {
        openConnections.decrementAndGet()
    }

    internal fun recordLagRefusal() {
        lagRefusals.incrementAndGet()
    }

    /** Returns true for the share of statements that [AnswerFaults.busyShare] refuses. */
    internal fun refusesAsBusy(): Boolean {
        val share = answerFaults.busyShare
        val random = faultRandom
        return share > 0 && synchronized(random) { random.nextDouble() } < share
    }

    /** Returns a number that makes a receipt differ from all others of this server. */
    internal fun newReceipt() = nextReceipt.incrementAndGet()

    internal fun newTransaction() = nextTransaction.incrementAndGet()

    internal suspend fun <T> inSlot(block: () -> T): T = slots.withPermit {
        delay(settings.statementTime)
        block()
    }
}
