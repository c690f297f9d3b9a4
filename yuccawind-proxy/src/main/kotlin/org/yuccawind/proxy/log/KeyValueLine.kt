package org.yuccawind.proxy.log

private const val HEX_RADIX = 16
private const val ESCAPE_DIGITS = 4

/** Maximum length of a value. Clients choose some values, and lines queue in memory. */
private const val MAX_VALUE_CHARS = 2_048

/** Formats an event as one machine-readable line of key=value pairs. */
internal object KeyValueLine {
    /**
     * Returns the line for [event]. Values that are empty or contain white space, `"`, `=`, `\`,
     * control characters or surrogates are quoted and escaped. Longer ones than
     * [MAX_VALUE_CHARS] are cut.
     */
    fun format(event: String, fields: Array<out Pair<String, Any?>>): String = buildString {
        append("event=")
        append(event)
        for ((key, value) in fields) {
            append(' ')
            append(key)
            append('=')
            appendValue(value.toString().take(MAX_VALUE_CHARS))
        }
    }

    private fun StringBuilder.appendValue(text: String) {
        if (text.isNotEmpty() && text.all(::isPlain)) {
            append(text)
            return
        }
        append('"')
        text.forEach { appendEscaped(it) }
        append('"')
    }

    private fun StringBuilder.appendEscaped(char: Char) {
        when {
            char == '"' || char == '\\' -> append('\\').append(char)
            char == '\n' -> append("\\n")
            char == '\r' -> append("\\r")
            char == ' ' || !isUnprintable(char) -> append(char)
            else -> append("\\u").append(char.code.toString(HEX_RADIX).padStart(ESCAPE_DIGITS, '0'))
        }
    }

    private fun isPlain(char: Char) =
        char != '"' && char != '=' && char != '\\' && !isUnprintable(char)

    private fun isUnprintable(char: Char) =
        char.isWhitespace() || char.isISOControl() || char.isSurrogate()
}
