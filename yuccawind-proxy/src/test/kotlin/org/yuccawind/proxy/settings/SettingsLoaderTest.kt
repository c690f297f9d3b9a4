package org.yuccawind.proxy.settings

import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.io.File
import java.nio.file.Path
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir

class SettingsLoaderTest {
    @TempDir
    lateinit var directory: Path

    private val valid = """
        instance: proxy-1
        zone: a
        callers: { port: 8080 }
        operators: { port: 8081 }
        peers: { port: 8082 }
        platform: "127.0.0.1:9000"
        operatorKey: 0123456789abcdef
    """.trimIndent()

    @Test
    fun `valid settings load with their defaults`() {
        SettingsLoader.load(file(valid)).getOrNull()?.drainMs shouldBe 10_000
    }

    @Test
    fun `the error for an unknown field names the field`() =
        expectError("$valid\ncolour: red", "colour")

    @Test
    fun `the error for a port out of range names the allowed range`() = expectError(
        valid.replace("8080", "70000"),
        "callers.port: found 70000, allowed 1 to 65535"
    )

    @Test
    fun `the error for a platform port out of range names the allowed range`() =
        expectError(valid.replace("9000", "70000"), "platform: found '127.0.0.1:70000', allowed")

    @Test
    fun `a platform address that is a host name is refused`() =
        expectError(valid.replace("127.0.0.1:9000", "store.example:9000"), "platform: found")

    @Test
    fun `the error for a missing zone names the field`() =
        expectError(valid.replace("zone: a\n", ""), "zone")

    @Test
    fun `the error for a short key does not print the key`() {
        val line = SettingsLoader.load(
            file(valid.replace("0123456789abcdef", "short"))
        ).leftOrNull()
        line.orEmpty() shouldContain "operatorKey: found 5 characters"
    }

    private fun expectError(text: String, expected: String) {
        val line = SettingsLoader.load(file(text)).leftOrNull().orEmpty()
        line shouldContain expected
        line shouldContain "settings.yaml"
        line.lines().size shouldBe 1
    }

    private fun file(text: String): File =
        directory.resolve("settings.yaml").toFile().apply { writeText(text) }
}
