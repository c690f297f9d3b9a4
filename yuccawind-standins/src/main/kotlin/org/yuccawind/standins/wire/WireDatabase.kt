package org.yuccawind.standins.wire

import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.yuccawind.core.model.LogPoint
import org.yuccawind.standins.database.DatabaseFaults
import org.yuccawind.standins.database.DatabaseModel
import org.yuccawind.standins.database.DatabaseSettings

/**
 * A database that speaks the line protocol and whose changes of primary are ordered from outside.
 *
 * @property service name of its group
 * @property name its identity
 * @property settings its sizes
 */
class WireDatabase(
    val service: String,
    val name: String,
    val settings: DatabaseSettings,
    time: TimeSource.WithComparableMarks
) {
    private val faults = MutableStateFlow(DatabaseFaults())
    private val slots = Semaphore(settings.slots)
    private val open = AtomicInteger()
    private val nextConnection = AtomicLong()
    private val nextTransaction = AtomicLong()

    internal val model = DatabaseModel(time)

    /** What clients' statements ran here, in order. */
    val runs = CopyOnWriteArrayList<WireRun>()

    private val lagRefusals = AtomicInteger()

    /** Statements refused because the log lacked what they had to see. */
    val refusedForLag get() = lagRefusals.get()

    private val fullRefusals = AtomicInteger()

    /** Connections refused because all places were taken. */
    val refusedForConnections get() = fullRefusals.get()

    /** Connections open now. */
    val connections get() = open.get()

    /** Replication lag in force. */
    val lag get() = faults.value.lagMs?.milliseconds ?: settings.lag

    /** End of the log. */
    val end: LogPoint get() = model.status().end

    /** True while this server leads its group. */
    val isLeading get() = model.status().isPrimary

    /** Sets the fault switches. */
    fun inject(next: DatabaseFaults) {
        faults.value = next
    }

    /** True while this replica receives nothing. */
    @Volatile
    var isPaused = false
        private set

    /** True from the end of this server's lead by its own step to the next promotion. */
    @Volatile
    internal var hasSteppedDown = false

    internal fun stepDown(term: Long) {
        if (term <= model.status().fence) return
        hasSteppedDown = isLeading
        model.fence(term)
    }

    internal fun pause(term: Long) {
        if (term > model.status().fence) isPaused = true
    }

    internal fun resume() {
        isPaused = false
    }

    /** A new connection. */
    fun connect() = WireSession(this, nextConnection.incrementAndGet(), faults.value.silence)

    /** Waits while the server, or the connection of [epoch], is silent. */
    internal suspend fun awaitVoice(epoch: Int) {
        faults.first { !it.frozen }
        if (faults.value.silence > epoch) awaitCancellation()
    }

    /** Takes one of the places for connections; false when all are taken. */
    internal fun admit(): Boolean {
        if (open.incrementAndGet() <= settings.connections) return true
        open.decrementAndGet()
        fullRefusals.incrementAndGet()
        return false
    }

    internal fun leave() {
        open.decrementAndGet()
    }

    internal fun noteLagRefusal() {
        lagRefusals.incrementAndGet()
    }

    internal fun newTransaction() = nextTransaction.incrementAndGet()

    internal suspend fun <T> inSlot(block: () -> T): T = slots.withPermit {
        delay(settings.statementTime)
        block()
    }
}
