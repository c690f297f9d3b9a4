package org.yuccawind.standins.database

/** Statements of the stand-in: `get K`, `scan PREFIX`, `put K V` and `append K V`. */
internal object Statement {
    private const val MAX_SHOWN_CHARACTERS = 20
    private val WORD_COUNTS = mapOf("get" to 2, "scan" to 2, "put" to 3, "append" to 3)

    /** Returns the reason why [text] is not a valid statement, or null if it is valid. */
    fun validationError(text: String): String? {
        val words = text.split(' ', limit = 3)
        val expected = WORD_COUNTS[words[0]]
            ?: return "unknown statement: ${words[0].take(MAX_SHOWN_CHARACTERS)}"
        return if (words.size < expected) "${words[0]} takes ${expected - 1} arguments" else null
    }

    /** Returns true if the statement changes the table. */
    fun isWrite(text: String) = text.startsWith("put ") || text.startsWith("append ")
}
