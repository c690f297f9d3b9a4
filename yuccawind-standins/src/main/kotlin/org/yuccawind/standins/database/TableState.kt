package org.yuccawind.standins.database

import org.yuccawind.core.model.RequestId
import org.yuccawind.core.port.LedgerState

/** Tables built by applying a log: the key-value table and the ledger of request ids. */
internal class TableState {
    private val values = HashMap<String, String>()
    private val ledger = HashMap<RequestId, LedgerRow>()

    /** Applies [entry] and returns the rows of its statements. */
    fun apply(entry: LogEntry): List<String> {
        val rows = entry.statements.flatMap { run(it, values) }
        entry.requestId?.let { id ->
            val state = if (entry.isCancelled) LedgerState.CANCELLED else LedgerState.RAN
            ledger[id] = LedgerRow(state, rows)
        }
        return rows
    }

    /** Runs [statements] without changing the tables and returns the rows of the last one. */
    fun preview(statements: List<String>): List<String> {
        if (statements.size == 1) return run(statements.single(), OverlayMap(values))
        val overlay = OverlayMap(values)
        return statements.map { run(it, overlay) }.last()
    }

    fun ledgerRow(id: RequestId): LedgerRow? = ledger[id]

    fun clear() {
        values.clear()
        ledger.clear()
    }

    private fun run(statement: String, table: MutableMap<String, String>): List<String> {
        val words = statement.split(' ', limit = 3)
        return when (words[0]) {
            "get" -> listOfNotNull(table[words[1]])

            "scan" -> table.filterKeys { it.startsWith(words[1]) }
                .toSortedMap().map { "${it.key}=${it.value}" }

            "put" -> emptyList<String>().also { table[words[1]] = words[2] }

            "append" -> listOf(table.merge(words[1], words[2]) { a, b -> "$a,$b" }.orEmpty())

            else -> error("unknown statement not rejected by Statement.validationError")
        }
    }

    /** Ledger entry of one request id. */
    class LedgerRow(val state: LedgerState, val rows: List<String>)
}

/** A copy-on-write view: writes go to this map, reads fall back to [base]. */
private class OverlayMap(private val base: Map<String, String>) : HashMap<String, String>() {
    override fun get(key: String): String? = super.get(key) ?: base[key]

    override fun merge(
        key: String,
        value: String,
        remap: java.util.function.BiFunction<in String, in String, out String?>
    ): String? {
        val old = get(key)
        val new: String? = if (old == null) value else remap.apply(old, value)
        new?.let { put(key, it) }
        return new
    }

    override val entries get() = (base + HashMap(this)).toMutableMap().entries
}
