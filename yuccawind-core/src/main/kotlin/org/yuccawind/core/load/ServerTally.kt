package org.yuccawind.core.load

import org.yuccawind.core.model.BackendServerName

/** Kinds that are told apart at a server; further ones are counted together. */
private const val MAX_KINDS = 16

/** Sums up what was seen of one server. */
internal class ServerTally {
    private val kinds = HashMap<LoadKind, KindCounters>()
    private var failed = 0
    private var refused = 0

    val isEmpty get() = kinds.isEmpty() && failed == 0 && refused == 0

    fun addAnswer(kind: LoadKind, count: Int, totalUs: Long) {
        val key = if (kind in kinds || kinds.size < MAX_KINDS) kind else LoadKind.OTHER
        val sum = kinds[key] ?: KindCounters(key, 0, 0)
        kinds[key] = KindCounters(key, sum.answered + count, sum.totalUs + totalUs)
    }

    fun addFailures(count: Int) {
        failed += count
    }

    fun addRefusals(count: Int) {
        refused += count
    }

    fun add(counters: ServerCounters) {
        counters.kinds.forEach { addAnswer(it.kind, it.answered, it.totalUs) }
        addFailures(counters.failed)
        addRefusals(counters.refused)
    }

    /** Returns the sums with the given state of the server, and starts again from zero. */
    fun take(server: BackendServerName, state: ServerState): ServerCounters {
        val counters = ServerCounters(
            server,
            kinds.values.toList(),
            failed,
            refused,
            state.inProgress,
            state.waiting
        )
        clear()
        return counters
    }

    fun clear() {
        kinds.clear()
        failed = 0
        refused = 0
    }
}
