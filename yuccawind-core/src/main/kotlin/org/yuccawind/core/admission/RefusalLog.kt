package org.yuccawind.core.admission

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.port.DecisionLog

/** Shortest time between two lines. */
private val LINE_PERIOD = 1.seconds

/**
 * Writes at most one line a second about the statements refused before they were sent to a server:
 * their number by reason, and the service and reason that account for most of them.
 */
class RefusalLog(private val time: TimeSource.WithComparableMarks, private val log: DecisionLog) {
    private val counts = HashMap<Pair<ServiceName, RefusalReason>, Int>()
    private var writtenAt: ComparableTimeMark? = null

    /** Records a statement of [service] that was refused for [reason]. */
    fun record(service: ServiceName, reason: RefusalReason) {
        counts.merge(service to reason, 1, Int::plus)
        if (writtenAt?.let { it.elapsedNow() < LINE_PERIOD } == true) return
        writtenAt = time.markNow()
        write()
        counts.clear()
    }

    private fun write() {
        val (service, reason) = counts.maxBy { it.value }.key
        val byReason = counts.entries.groupingBy { it.key.second }
            .fold(0) { sum, entry -> sum + entry.value }
        log.record(
            "statements_refused",
            "binding" to reason,
            "service" to service,
            "count" to counts.values.sum(),
            "by_reason" to byReason.entries.joinToString(",") { "${it.key}:${it.value}" }
        )
    }
}
