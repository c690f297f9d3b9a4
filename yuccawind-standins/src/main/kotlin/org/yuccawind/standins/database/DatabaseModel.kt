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

/** Log, tables, fence and role of one database, without delays or network access. */
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
        journal.read().forEach(::replay)
    }

    /** Returns the fence, the end of the log and the role. */
    fun status(): ServerStatus = lock.withLock { ServerStatus(fence, end(), role) }

    /** Raises the fence to [term]; a primary of a lower term becomes a replica. */
    fun fence(term: Long): ServerStatus = lock.withLock {
        if (term > fence) {
            raiseFence(term)
            role = ServerRole.REPLICA
        }
        status()
    }

    /**
     * Makes this server the primary of [term] and, with [appendsEntry], appends its first entry;
     * idempotent.
     */
    fun promote(term: Long, appendsEntry: Boolean = true): BackendReply = lock.withLock {
        if (term < fence) return notPrimary("fenced at $fence, asked for $term")
        val isAlreadyPrimary = role == ServerRole.PRIMARY && fence == term
        if (!isAlreadyPrimary) {
            raiseFence(term)
            role = ServerRole.PRIMARY
            if (appendsEntry) append(LogEntry(term))
        }
        BackendReply.Status(status())
    }

    /** True while this server is the primary of [term]. */
    fun isPrimaryOf(term: Long): Boolean = lock.withLock { isCurrentPrimary(term) }

    /** Runs [statements] on a copy of the tables and returns the rows of the last one. */
    fun query(statements: List<String>): Answer = lock.withLock {
        Answer(end(), tables.preview(statements))
    }

    /** Commits a transaction together with its ledger row; null if not the primary of [term]. */
    fun commit(term: Long, statements: List<String>, requestId: RequestId?): Answer? =
        lock.withLock {
            if (!isCurrentPrimary(term)) return null
            ledgerAnswer(requestId) ?: run {
                if (statements.isEmpty() && requestId == null) return Answer(end())
                val rows = append(LogEntry(term, statements, requestId))
                Answer(end(), rows)
            }
        }

    /**
     * Looks up [requestId] in the ledger and, if it is absent and [cancel] is set, inserts it as
     * cancelled. Returns null if this server is not the primary of [term].
     */
    fun resolve(term: Long, requestId: RequestId, cancel: Boolean): Answer? = lock.withLock {
        if (!isCurrentPrimary(term)) return null
        ledgerAnswer(requestId) ?: run {
            if (cancel) append(LogEntry(term, requestId = requestId, isCancelled = true))
            Answer(end(), ledger = if (cancel) LedgerState.CANCELLED else LedgerState.NEW)
        }
    }

    /** Appends entries received from a primary and truncates a divergent suffix of the log. */
    fun replicate(call: ReplicateCall): ReplicateReply = lock.withLock {
        if (call.term < fence || isCurrentPrimary(call.term)) {
            return ReplicateReply(false, fence, length())
        }
        raiseFence(call.term)
        role = ServerRole.REPLICA
        if (!logContains(call.previous)) {
            val length = minOf(length(), maxOf(0, call.previous.position - 1))
            return ReplicateReply(false, fence, length)
        }
        for ((offset, entry) in call.entries.withIndex()) {
            appendOrReplace(call.previous.position + offset, entry)
        }
        ReplicateReply(true, fence, call.previous.position + call.entries.size)
    }

    /**
     * Returns the next entries, at most [limit] and older than [lag], for a replica whose log
     * matches up to position [from]. Returns null unless this server is the primary, or
     * [hasSteppedDown] is set because it stepped down and no successor has been promoted yet.
     */
    fun entriesAfter(
        from: Long,
        lag: Duration,
        limit: Int,
        hasSteppedDown: Boolean = false
    ): ReplicateCall? = lock.withLock {
        if (role != ServerRole.PRIMARY && !hasSteppedDown) return null
        val start = minOf(from, length())
        val batch = ArrayList<LogEntry>()
        var next = start.toInt()
        while (next < log.size && batch.size < limit && appendedAt[next].elapsedNow() >= lag) {
            batch += log[next++]
        }
        ReplicateCall(fence, pointAt(start), batch)
    }

    private fun isCurrentPrimary(term: Long) = role == ServerRole.PRIMARY && fence == term

    private fun ledgerAnswer(requestId: RequestId?): Answer? {
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
        return addToLog(entry)
    }

    private fun addToLog(entry: LogEntry): List<String> {
        log += entry
        appendedAt += time.markNow()
        return tables.apply(entry)
    }

    private fun appendOrReplace(index: Long, entry: LogEntry) {
        if (index < log.size) {
            if (log[index.toInt()] == entry) return
            truncate(index.toInt())
        }
        append(entry)
    }

    private fun truncate(length: Int) {
        journal.write(JournalRecord.Truncate(length))
        discardAfter(length)
    }

    /** Restores log and fence only: a restarted server is a replica until it is promoted again. */
    private fun replay(record: JournalRecord) {
        when (record) {
            is JournalRecord.Append -> addToLog(record.entry)
            is JournalRecord.Truncate -> discardAfter(record.length)
            is JournalRecord.Fence -> fence = record.term
        }
    }

    private fun discardAfter(length: Int) {
        log.subList(length, log.size).clear()
        appendedAt.subList(length, appendedAt.size).clear()
        tables.clear()
        log.forEach(tables::apply)
    }

    private fun logContains(point: LogPoint) =
        point.position <= length() && pointAt(point.position) == point

    private fun pointAt(position: Long) =
        if (position == 0L) LogPoint.ZERO else LogPoint(log[position.toInt() - 1].term, position)

    private fun end() = pointAt(length())

    private fun length() = log.size.toLong()

    private fun notPrimary(detail: String) = BackendReply.Refused(RefusalReason.NOT_PRIMARY, detail)
}
