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
 * A group of [WireDatabase]s; the first one is the initial primary.
 *
 * @property service name of the service
 */
class WireGroup(
    val service: String,
    names: List<String>,
    settings: DatabaseSettings,
    time: TimeSource.WithComparableMarks
) {
    /** The databases by name. */
    val databases = names.associateWith { WireDatabase(service, it, settings, time) }

    /** Names of databases that neither send nor receive replicated entries. */
    @Volatile
    var isolated: Set<String> = emptySet()

    /** False if a promoted server shows the former term at its log's end until its first write. */
    @Volatile
    var appendsEntryOnPromotion = true

    init {
        for (database in databases.values) {
            database.countCopies = { point ->
                databases.values.count { it !== database && it.end >= point }
            }
        }
        databases.values.first().model.promote(1)
    }

    /** The current primary, or null. */
    val primary get() = databases.values.firstOrNull { it.isPrimary }

    /** Makes [name] the primary of the next term with the log entries that it has received. */
    fun promote(name: String) {
        val chosen = databases.getValue(name)
        if (chosen.isPrimary) return
        val term = databases.values.maxOf { it.model.status().fence } + 1
        databases.values.filter { it !== chosen && it.isPrimary }.forEach { it.model.fence(term) }
        databases.values.forEach { it.hasSteppedDown = false }
        chosen.resume()
        chosen.model.promote(term, appendsEntryOnPromotion)
    }

    /** Returns the client statements executed on all databases. */
    fun executions(): List<StatementExecution> = databases.values.flatMap { it.executions }

    /** Replicates until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        for (source in databases.values) {
            for (target in databases.values) {
                if (target !== source) launch { replicate(source, target) }
            }
        }
    }

    private suspend fun replicate(source: WireDatabase, target: WireDatabase) {
        var from = 0L
        while (true) {
            val isCut = source.name in isolated || target.name in isolated || target.isPaused
            val call = if (isCut) null else nextBatch(source, from, target)
            if (call != null) from = target.model.replicate(call).length
            delay(REPLICATION_PERIOD)
        }
    }

    private fun nextBatch(source: WireDatabase, from: Long, target: WireDatabase) =
        source.model.entriesAfter(from, target.lag, REPLICATION_BATCH, source.hasSteppedDown)
}
