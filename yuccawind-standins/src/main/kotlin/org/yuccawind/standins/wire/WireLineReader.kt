package org.yuccawind.standins.wire

import java.io.BufferedInputStream
import java.io.ByteArrayOutputStream
import java.io.InputStream

private const val END_OF_INPUT = -1
private const val CARRIAGE_RETURN = '\r'.code
private const val LINE_FEED = '\n'.code

/**
 * Reads messages of the line protocol. A message ends at CR LF and nowhere else; each of its other
 * bytes becomes one character.
 */
class WireLineReader(input: InputStream) {
    private val input = BufferedInputStream(input)

    /** Returns the next message without its end; null at the end of the input. */
    fun read(): String? {
        val content = ByteArrayOutputStream()
        var last = END_OF_INPUT
        while (true) {
            val byte = input.read()
            if (byte == END_OF_INPUT) return null
            if (last == CARRIAGE_RETURN && byte == LINE_FEED) return content.withoutLastByte()
            content.write(byte)
            last = byte
        }
    }

    /** Returns the first character that has arrived and is not read yet; null if none has. */
    fun peek(): Char? {
        if (input.available() == 0) return null
        input.mark(1)
        return input.read().also { input.reset() }.toChar()
    }

    private fun ByteArrayOutputStream.withoutLastByte() = toString(Charsets.ISO_8859_1).dropLast(1)
}
