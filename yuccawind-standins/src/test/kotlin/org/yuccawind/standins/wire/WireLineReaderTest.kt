package org.yuccawind.standins.wire

import io.kotest.matchers.collections.shouldContainExactly
import org.junit.jupiter.api.Test

class WireLineReaderTest {
    @Test
    fun `a message ends at CR LF only`() {
        messagesOf("a\nb\r\nc\rd\r\n\r\n\n\r\ne\r\r\n\n") shouldContainExactly
            listOf("a\nb", "c\rd", "", "\n", "e\r")
    }

    @Test
    fun `all other bytes are content`() {
        val bytes = (0x00..0xff).map(Int::toChar).joinToString("")
        messagesOf("$bytes\r\n") shouldContainExactly listOf(bytes)
    }

    @Test
    fun `a message without an end is dropped`() {
        messagesOf("a\r\nb\r") shouldContainExactly listOf("a")
    }

    private fun messagesOf(text: String): List<String> {
        val reader = WireLineReader(text.toByteArray(Charsets.ISO_8859_1).inputStream())
        return generateSequence(reader::read).toList()
    }
}
