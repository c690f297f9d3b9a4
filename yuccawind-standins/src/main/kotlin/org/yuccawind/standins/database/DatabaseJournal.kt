package org.yuccawind.standins.database

import java.io.File
import java.io.FileOutputStream
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.yuccawind.standins.http.STANDIN_JSON

/** Durable record of the state that a database must keep across a restart. */
interface DatabaseJournal {
    /** Returns all records in the order in which they were written. */
    fun read(): List<JournalRecord>

    /** Writes [record]; returns once it is written. */
    fun write(record: JournalRecord)

    companion object {
        /** Discards every record. */
        val NONE = object : DatabaseJournal {
            override fun read() = emptyList<JournalRecord>()

            override fun write(record: JournalRecord) = Unit
        }
    }
}

/** A change to the log or the fence of a database. */
@Serializable
sealed interface JournalRecord {
    /** [entry] was appended to the log. */
    @Serializable
    @SerialName("append")
    data class Append(val entry: LogEntry) : JournalRecord

    /** The log was truncated to [length] entries. */
    @Serializable
    @SerialName("truncate")
    data class Truncate(val length: Int) : JournalRecord

    /** The fence was raised to [term]. */
    @Serializable
    @SerialName("fence")
    data class Fence(val term: Long) : JournalRecord
}

/** A journal in an append-only file, one line per record; an incomplete last line is discarded. */
class FileJournal(directory: File) : DatabaseJournal {
    private val file = File(directory.apply { mkdirs() }, "journal")
    private val output = FileOutputStream(file.apply { discardIncompleteLine(this) }, true)

    override fun read(): List<JournalRecord> = file.readLines().map {
        STANDIN_JSON.decodeFromString(JournalRecord.serializer(), it)
    }

    override fun write(record: JournalRecord) {
        val line = STANDIN_JSON.encodeToString(JournalRecord.serializer(), record)
        output.write("$line\n".toByteArray())
    }

    private fun discardIncompleteLine(file: File) {
        if (!file.exists()) return
        val text = file.readText()
        file.writeText(text.substring(0, text.lastIndexOf('\n') + 1))
    }
}
