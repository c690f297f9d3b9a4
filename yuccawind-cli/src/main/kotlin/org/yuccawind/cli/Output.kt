package org.yuccawind.cli

import kotlinx.serialization.KSerializer

private const val COLUMN_GAP = "  "

/** Prints results as text or, with [isJson], as JSON. */
internal class Output(val isJson: Boolean) {
    /** Prints [value] as JSON, or the result of [lines] as text. */
    fun <T> show(serializer: KSerializer<T>, value: T, lines: () -> List<String>) {
        if (isJson) {
            println(ADMIN_JSON.encodeToString(serializer, value))
        } else {
            lines().forEach(::println)
        }
    }

    /** Prints a progress message to standard error, so that standard output has only results. */
    fun progress(line: String) = System.err.println(line)

    companion object {
        /** Formats [rows] as aligned columns under [header]; null becomes `-`. */
        fun table(header: List<String>, rows: List<List<Any?>>): List<String> {
            val texts = listOf(header) + rows.map { row -> row.map { it?.toString() ?: "-" } }
            val widths = header.indices.map { column -> texts.maxOf { it[column].length } }
            return texts.map { row ->
                row.mapIndexed { column, text -> text.padEnd(widths[column]) }
                    .joinToString(COLUMN_GAP).trimEnd()
            }
        }
    }
}
