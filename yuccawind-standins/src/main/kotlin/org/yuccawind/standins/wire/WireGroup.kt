package org.yuccawind.standins.wire

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.yuccawind.standins.database.DatabaseSettings

private val REPLICATION_PERIOD = 2.milliseconds
private const val REPLICATION_BATCH = 512

/**
 * A group of [WireDatabase]s; the first leads at the start.
 *
 * @property service name of the group
 */
class WireGroup(
    val service: String,
    names: List<String>,
    settings: DatabaseSettings,
    time: TimeSource.WithComparableMarks
) {
    /** The databases by name. */
    val databases = names.associateWith { WireDatabase(service, it, settings, time) }

    /** The databases cut off from the others: they receive nothing. */
    @Volatile
    var deaf: Set<String> = emptySet()

    init {
        databases.values.first().model.promote(1)
    }

    /** The database that leads, or null. */
    val leader get() = databases.values.firstOrNull { it.isLeading }

    /** Carries an order out: [name] leads the next term with what it has received. */
    fun promote(name: String) {
        val chosen = databases.getValue(name)
        if (chosen.isLeading) return
        val term = databases.values.maxOf { it.model.status().fence } + 1
        databases.values.filter { it !== chosen && it.isLeading }.forEach { it.model.fence(term) }
        databases.values.forEach { it.hasSteppedDown = false }
        chosen.resume()
        chosen.model.promote(term)
    }

    /** What clients' statements ran on any database. */
    fun runs(): List<WireRun> = databases.values.flatMap { it.runs }

    /** Replicates until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        for (source in databases.values) {
            for (target in databases.values) if (target !== source) launch { feed(source, target) }
        }
    }

    private suspend fun feed(source: WireDatabase, target: WireDatabase) {
        var from = 0L
        while (true) {
            val isCut = source.name in deaf || target.name in deaf || target.isPaused
            val call = if (isCut) null else due(source, from, target)
            if (call != null) from = target.model.replicate(call).length
            delay(REPLICATION_PERIOD)
        }
    }

    private fun due(source: WireDatabase, from: Long, target: WireDatabase) =
        source.model.entriesAfter(from, target.lag, REPLICATION_BATCH, source.hasSteppedDown)
}
