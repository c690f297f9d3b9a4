package org.yuccawind.standins.database

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.RequestId
import org.yuccawind.core.model.ServerRole
import org.yuccawind.core.model.ServerStatus
import org.yuccawind.core.port.Answer
import org.yuccawind.core.port.LedgerState
import org.yuccawind.core.wire.BackendReply
import org.yuccawind.core.wire.RefusalReason

/** Log, tables, fence and role of one database: no time passes inside and nothing is sent. */
class DatabaseModel(
    private val time: TimeSource.WithComparableMarks,
    private val journal: DatabaseJournal = DatabaseJournal.NONE
) {
    private val lock = ReentrantLock()
    private val log = ArrayList<LogEntry>()
    private val appendedAt = ArrayList<ComparableTimeMark>()
    private val tables = TableState()
    private var fence = 0L
    private var role = ServerRole.REPLICA

    init {
        journal.read().forEach(::reload)
    }

    /** Fence, log end and role. */
    fun status(): ServerStatus = lock.withLock { ServerStatus(fence, end(), role) }

    /** Refuses terms below [term] from now on; a primary of a lower term stops being one. */
    fun fence(term: Long): ServerStatus = lock.withLock {
        if (term > fence) {
            raiseFence(term)
            role = ServerRole.REPLICA
        }
        status()
    }

    /** Becomes the primary of [term] and appends its first entry; repeated calls change nothing. */
    fun promote(term: Long): BackendReply = lock.withLock {
        if (term < fence) return notPrimary("fenced at $fence, asked for $term")
        val already = role == ServerRole.PRIMARY && fence == term
        if (!already) {
            raiseFence(term)
            role = ServerRole.PRIMARY
            append(LogEntry(term))
        }
        BackendReply.Status(status())
    }

    /** True while this server is the primary of [term]. */
    fun isPrimaryOf(term: Long): Boolean = lock.withLock { leads(term) }

    /** Reads inside the transaction that ran [before] on this connection. */
    fun query(statements: List<String>): Answer = lock.withLock {
        Answer(end(), tables.preview(statements))
    }

    /** Runs a transaction with its ledger row in the same commit; null when not the primary. */
    fun commit(term: Long, statements: List<String>, requestId: RequestId?): Answer? =
        lock.withLock {
            if (!leads(term)) return null
            earlier(requestId) ?: run {
                if (statements.isEmpty() && requestId == null) return Answer(end())
                val rows = append(LogEntry(term, statements, requestId))
                Answer(end(), rows)
            }
        }

    /** Looks [requestId] up and, when [cancel] is set, inserts it as cancelled if absent. */
    fun resolve(term: Long, requestId: RequestId, cancel: Boolean): Answer? = lock.withLock {
        if (!leads(term)) return null
        earlier(requestId) ?: run {
            if (cancel) append(LogEntry(term, requestId = requestId, isCancelled = true))
            Answer(end(), ledger = if (cancel) LedgerState.CANCELLED else LedgerState.NEW)
        }
    }

    /** Takes entries from a primary; a divergent suffix is dropped. */
    fun replicate(call: ReplicateCall): ReplicateReply = lock.withLock {
        if (call.term < fence || leads(call.term)) return ReplicateReply(false, fence, length())
        raiseFence(call.term)
        role = ServerRole.REPLICA
        if (!holds(call.previous)) {
            val length = minOf(length(), maxOf(0, call.previous.position - 1))
            return ReplicateReply(false, fence, length)
        }
        for ((offset, entry) in call.entries.withIndex()) {
            place(
                call.previous.position + offset,
                entry
            )
        }
        ReplicateReply(true, fence, call.previous.position + call.entries.size)
    }

    /**
     * The next entries for a replica whose log agrees up to [from], older than [lag]; null unless
     * this server leads, or has [steppedDown] and no other leads yet.
     */
    fun entriesAfter(
        from: Long,
        lag: Duration,
        limit: Int,
        steppedDown: Boolean = false
    ): ReplicateCall? = lock.withLock {
        if (role != ServerRole.PRIMARY && !steppedDown) return null
        val start = minOf(from, length())
        val due = ArrayList<LogEntry>()
        var next = start.toInt()
        while (next < log.size && due.size < limit && appendedAt[next].elapsedNow() >= lag) {
            due += log[next++]
        }
        ReplicateCall(fence, pointAt(start), due)
    }

    private fun leads(term: Long) = role == ServerRole.PRIMARY && fence == term

    private fun earlier(requestId: RequestId?): Answer? {
        val row = requestId?.let(tables::ledgerRow) ?: return null
        return Answer(end(), row.rows, row.state)
    }

    private fun raiseFence(term: Long) {
        if (term == fence) return
        fence = term
        journal.write(JournalRecord.Fence(term))
    }

    private fun append(entry: LogEntry): List<String> {
        journal.write(JournalRecord.Append(entry))
        return add(entry)
    }

    private fun add(entry: LogEntry): List<String> {
        log += entry
        appendedAt += time.markNow()
        return tables.apply(entry)
    }

    private fun place(index: Long, entry: LogEntry) {
        if (index < log.size) {
            if (log[index.toInt()] == entry) return
            truncate(index.toInt())
        }
        append(entry)
    }

    private fun truncate(length: Int) {
        journal.write(JournalRecord.Truncate(length))
        cut(length)
    }

    /** A restarted server is a replica until it is promoted anew. */
    private fun reload(record: JournalRecord) {
        when (record) {
            is JournalRecord.Append -> add(record.entry)
            is JournalRecord.Truncate -> cut(record.length)
            is JournalRecord.Fence -> fence = record.term
        }
    }

    private fun cut(length: Int) {
        log.subList(length, log.size).clear()
        appendedAt.subList(length, appendedAt.size).clear()
        tables.clear()
        log.forEach(tables::apply)
    }

    private fun holds(point: LogPoint) =
        point.position <= length() && pointAt(point.position) == point

    private fun pointAt(position: Long) =
        if (position == 0L) LogPoint.ZERO else LogPoint(log[position.toInt() - 1].term, position)

    private fun end() = pointAt(length())

    private fun length() = log.size.toLong()

    private fun notPrimary(detail: String) = BackendReply.Refused(RefusalReason.NOT_PRIMARY, detail)
}
