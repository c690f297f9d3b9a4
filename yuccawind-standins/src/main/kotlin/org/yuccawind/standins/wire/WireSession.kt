package org.yuccawind.standins.wire

import java.util.concurrent.atomic.AtomicBoolean
import org.yuccawind.core.model.LogPoint

/** One client connection to a [WireDatabase]; processes the line protocol. */
class WireSession internal constructor(
    private val database: WireDatabase,
    private val connection: Long,
    private val silenceAtOpen: Int
) {
    private val values = LinkedHashMap<String, String>()
    private val prepared = HashMap<String, String>()
    private var transaction: Transaction? = null
    internal var isStarted = false
        private set
    private var caller = ""
    private val isClosed = AtomicBoolean()

    /** Processes one request line and returns the reply lines. */
    suspend fun handle(line: String): List<String> {
        database.awaitResponsive(silenceAtOpen)
        val fields = line.split(' ', limit = QUERY_FIELDS)
        val answer = when {
            !isStarted -> start(line.split(' '))
            fields[0] == "QUERY" && fields.size == QUERY_FIELDS -> query(fields[1], fields[2])
            else -> listOf("ERROR MALFORMED expected QUERY")
        }
        database.awaitResponsive(silenceAtOpen)
        return answer
    }

    /** Closes the connection; an open transaction is rolled back. */
    fun close() {
        if (isClosed.compareAndSet(false, true) && isStarted) database.releaseConnection()
    }

    private fun start(fields: List<String>): List<String> = when {
        fields.getOrNull(1) != database.service -> listOf("ERROR MISROUTED ${database.name}")

        fields.size > START_ID_INDEX && fields[START_ID_INDEX] != database.name ->
            listOf("ERROR MISROUTED ${database.name}")

        !database.tryOpenConnection() -> listOf("ERROR TOOMANY ${database.name}")

        else -> {
            isStarted = true
            caller = fields.getOrElse(START_CALLER_INDEX) { "" }
            listOf(ready())
        }
    }

    private suspend fun query(id: String, text: String): List<String> {
        val after = if (text.startsWith("AFTER ")) text.split(' ')[1] else null
        val statement = if (after == null) text else text.split(' ', limit = AFTER_FIELDS)[2]
        val point = after?.let(LogPoint::parse)
        val result = when {
            transaction?.isFailed == true -> runInFailedTransaction(statement)
            needsSlot(statement) && database.refusesAsBusy() -> error("BUSY")
            point != null && logEnd().position < point.position -> refuseLagging()
            else -> run(id, statement)
        }
        database.answers += AnswerRecord(database.name, id, result)
        return result + ready()
    }

    private fun needsSlot(statement: String) = statement.substringBefore(' ') in SLOT_STATEMENTS

    private fun refuseLagging(): List<String> {
        database.recordLagRefusal()
        return error("LAGGING")
    }

    private fun runInFailedTransaction(statement: String) = when (statement) {
        "ROLLBACK", "COMMIT" -> {
            transaction = null
            done()
        }

        else -> error("MALFORMED")
    }

    private suspend fun run(id: String, statement: String): List<String> {
        val words = statement.split(' ')
        if (hasLostPrimaryRole() && words[0] !in TRANSACTION_ENDS) {
            transaction?.isFailed = true
            return error("READONLY")
        }
        return when (words[0]) {
            "BEGIN" -> begin(isReadOnly = words.size > 1)
            "ROLLBACK" -> done().also { transaction = null }
            "COMMIT" -> commit(id)
            "SET" -> done().also { values[words[1]] = words.drop(2).joinToString(" ") }
            "PREPARE" -> done().also { prepared[words[1]] = words.drop(2).joinToString(" ") }
            "RESET" -> reset()
            "READ", "WRITE", "EXECUTE" -> runData(id, statement, words)
            else -> administer(words)
        }
    }

    private fun administer(words: List<String>): List<String> = when (words[0]) {
        "STATUS" -> status()
        "STEPDOWN" -> stepDown(words[1].toLong())
        "PAUSE" -> pause(words[1].toLong())
        "RESUME" -> resume()
        else -> error("MALFORMED")
    }

    private suspend fun runData(id: String, statement: String, words: List<String>): List<String> =
        when (words[0]) {
            "READ" -> runData(id, statement, "get ${words[1]}")
            "WRITE" -> runData(id, statement, "put ${words[1]} ${words.drop(2).joinToString(" ")}")
            else -> execute(id, words)
        }

    private fun begin(isReadOnly: Boolean): List<String> {
        if (!isReadOnly && !database.isPrimary) return error("READONLY")
        transaction = Transaction(database.newTransaction(), isReadOnly)
        return done()
    }

    private suspend fun execute(id: String, words: List<String>): List<String> {
        val template = prepared[words[1]] ?: return error("NOSTMT")
        val command = if (template.startsWith("READ")) {
            "get ${words[2]}"
        } else {
            "put ${words[2]} ${words.drop(EXECUTE_DATA_INDEX).joinToString(" ")}"
        }
        return runData(id, "$template ${words.drop(2).joinToString(" ")}", command)
    }

    private suspend fun runData(id: String, text: String, command: String): List<String> {
        if (id == NO_ID) return error("MALFORMED")
        val isWrite = command.startsWith("put")
        var committed: LogPoint? = null
        val reply = database.inSlot {
            // The server can lose the primary role while the statement waits for its slot.
            if (isWrite && !database.isPrimary) return@inSlot error("READONLY")
            recordExecution(id, text)
            val open = transaction
            when {
                !isWrite -> database.model.query(open?.writes.orEmpty() + command).rows
                    .map { "ROW $it${rowTail()}" } + doneWithId(id)

                open != null -> doneWithId(id).also { open.add(id, command) }

                else -> doneWithId(id).also {
                    committed = commitToModel(listOf(id), listOf(command))
                }
            }
        }
        return acknowledge(reply, committed)
    }

    private suspend fun commit(id: String): List<String> {
        val open = transaction ?: return error("MALFORMED")
        if (id == NO_ID) return error("MALFORMED")
        transaction = null
        var committed: LogPoint? = null
        val reply = database.inSlot {
            if (open.writes.isNotEmpty() && !database.isPrimary) return@inSlot error("READONLY")
            recordExecution(id, "COMMIT", open)
            if (open.writes.isNotEmpty()) committed = commitToModel(open.ids, open.writes)
            doneWithId(id)
        }
        return acknowledge(reply, committed)
    }

    private fun commitToModel(ids: List<String>, commands: List<String>): LogPoint? {
        val answer = database.model.commit(database.model.status().fence, commands, null)
        if (answer != null) database.committedWrites += ids
        return answer?.end
    }

    private fun rowTail(): String {
        val tails = database.answerFaults.rowTails
        return if (tails.isEmpty()) "" else tails.random(database.faultRandom)
    }

    /** Returns [reply] once enough replicas have received the log up to [committed]. */
    private suspend fun acknowledge(reply: List<String>, committed: LogPoint?): List<String> {
        if (committed == null || database.awaitReplicated(committed)) return reply
        return error("FAILED")
    }

    private fun recordExecution(id: String, text: String, within: Transaction? = transaction) {
        database.executions += StatementExecution(
            server = database.name,
            connection = connection,
            caller = caller,
            id = id,
            text = text,
            values = values.toMap(),
            transaction = within?.number,
            position = logEnd()
        )
    }

    private fun reset(): List<String> {
        values.clear()
        prepared.clear()
        return done()
    }

    private fun status(): List<String> {
        val role = if (database.isPrimary) "primary" else "replica"
        val term = database.model.status().fence
        val held = database.pausedBelowTerm
        return listOf("ROW $role $term ${logEnd()} $held 0 0 ${database.connections}") + done()
    }

    private fun pause(term: Long): List<String> {
        database.pause(term)
        return status()
    }

    private fun resume(): List<String> {
        database.resume()
        return status()
    }

    private fun stepDown(term: Long): List<String> {
        database.stepDown(term)
        return status()
    }

    private fun hasLostPrimaryRole(): Boolean {
        val open = transaction ?: return false
        return !open.isReadOnly && !database.isPrimary
    }

    private fun doneWithId(id: String) =
        listOf("DONE ${database.name}.$id.${database.newReceipt()}")

    private fun done() = listOf("DONE $NO_ID")

    private fun error(code: String) = listOf("ERROR $code ${database.name}")

    private fun ready() = "READY ${state()} ${logEnd()}"

    private fun state() = when {
        transaction == null -> "I"
        transaction?.isFailed == true -> "E"
        else -> "T"
    }

    private fun logEnd() = database.model.status().end

    private class Transaction(val number: Long, val isReadOnly: Boolean) {
        val ids = ArrayList<String>()
        val writes = ArrayList<String>()
        var isFailed = false

        fun add(id: String, command: String) {
            ids += id
            writes += command
        }
    }

    private companion object {
        const val NO_ID = "-"
        const val QUERY_FIELDS = 3
        const val START_CALLER_INDEX = 2
        const val START_ID_INDEX = 3
        const val AFTER_FIELDS = 3
        const val EXECUTE_DATA_INDEX = 3
        val SLOT_STATEMENTS = setOf("READ", "WRITE", "EXECUTE", "COMMIT", "STATUS")
        val TRANSACTION_ENDS = setOf("ROLLBACK", "COMMIT")
    }
}
