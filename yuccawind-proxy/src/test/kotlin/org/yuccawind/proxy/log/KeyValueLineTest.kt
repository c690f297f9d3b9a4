package org.yuccawind.proxy.log

import io.github.oshai.kotlinlogging.Level
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.Codepoint
import io.kotest.property.arbitrary.arabic
import io.kotest.property.arbitrary.ascii
import io.kotest.property.arbitrary.char
import io.kotest.property.arbitrary.choice
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.map
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test

private val PAIR = Regex("""(\w+)=("(?:[^"\\]|\\.)*"|[^ "]*)( |$)""")

class KeyValueLineTest {
    private val anyChar = Arb.char('\u0000'..'\u00ff', '\u2020'..'\u2030', '\ud800'..'\udfff')
    private val values = Arb.choice(
        Arb.string(0..20, Codepoint.ascii()),
        Arb.string(0..20, Codepoint.arabic()),
        Arb.list(anyChar, 0..20).map { it.joinToString("") }
    )

    @Test
    fun `a formatted line parses back to its fields`() = runBlocking<Unit> {
        checkAll(PropTestConfig(seed = 17), Arb.list(values, 0..6)) { texts ->
            val fields = texts.mapIndexed { index, text -> "k$index" to text }
            val line = KeyValueLine.format("read_route", fields.toTypedArray())
            line.none { it.isISOControl() || it == '\u2028' || it == '\u2029' } shouldBe true
            parse(line) shouldBe listOf("event" to "read_route") + fields
        }
    }

    /** Clients choose ids and names, and servers the texts of their errors. */
    @Test
    fun `ids, names and error texts make one line`() {
        val odd = "\n\r\r\n\u001b[2J\"=\\ \u0085\u2028\u2029\u0000event=forged"
        val fields = arrayOf("id" to odd, "database" to "a\n$odd", "outcome" to "FAILED: $odd")
        val line = KeyValueLine.format("statement_route", fields)
        line.none { it.isISOControl() || it == '\u2028' || it == '\u2029' } shouldBe true
        parse(line) shouldBe listOf("event" to "statement_route") + fields
    }

    @Test
    fun `plain values are not quoted`() {
        KeyValueLine.format("e", arrayOf("a" to 1, "b" to null)) shouldBe "event=e a=1 b=null"
    }

    @Test
    fun `failures have level WARN and per-request events are recognized`() {
        EventLevels.of("config_watch_failed") shouldBe Level.WARN
        EventLevels.of("instance_started") shouldBe Level.INFO
        EventLevels.isPerRequest("write_route") shouldBe true
        EventLevels.isPerRequest("promotion") shouldBe false
    }

    private fun parse(line: String) = PAIR.findAll(line).map { match ->
        val (key, text) = match.destructured
        key to if (text.startsWith('"')) Json.decodeFromString<String>(text) else text
    }.toList()
}
