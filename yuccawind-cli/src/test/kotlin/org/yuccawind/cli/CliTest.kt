package org.yuccawind.cli

import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import java.io.ByteArrayOutputStream
import java.io.File
import java.io.PrintStream
import java.nio.file.Path
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir

class CliTest {
    @TempDir
    lateinit var directory: Path

    @Test
    fun `invalid usage exits with 2`() {
        exitCodeOf("config", "plan") shouldBe ExitCode.USAGE
        exitCodeOf("unheard-of") shouldBe ExitCode.USAGE
        exitCodeOf("service", "list", "--colour", "red") shouldBe ExitCode.USAGE
        exitCodeOf("service", "list", "--output", "xml") shouldBe ExitCode.USAGE
        exitCodeOf("config", "check", "/nowhere.yaml") shouldBe ExitCode.USAGE
        exitCodeOf("session", "explain", "not a token") shouldBe ExitCode.USAGE
    }

    @Test
    fun `an unreachable instance exits with 1`() {
        val key = file("key", "0123456789abcdef")
        exitCodeOf("service", "list", "--address", "127.0.0.1:1", "--key-file", key) shouldBe
            ExitCode.FAILED
    }

    @Test
    fun `help and session explain exit with 0`() {
        exitCodeOf("--help") shouldBe ExitCode.OK
        exitCodeOf("session", "explain", "match-pairing=2.4") shouldBe ExitCode.OK
    }

    @Test
    fun `config check lists all errors and exits with 2`() {
        val text = "services:\n- name: \"A\"\n  backendServers: []\n  colour: red\n"
        var code = ExitCode.OK
        val printed =
            standardErrorOf { code = run(listOf("config", "check", file("c.yaml", text))) }
        code shouldBe ExitCode.USAGE
        printed shouldContain "line 2: services[0].name"
        printed shouldContain "services[0].colour"
        printed shouldContain "faults=3"
    }

    @Test
    fun `an error in the settings file does not print the key`() {
        val settings = file("s.yaml", "operatorKey: secret-secret-secret\nport: 1\n")
        val printed = standardErrorOf { run(listOf("service", "list", "--settings", settings)) }
        printed shouldContain "line"
        printed shouldNotContain "secret"
    }

    @Test
    fun `tables align their columns`() {
        Output.table(listOf("A", "B"), listOf(listOf("long", null))) shouldContain "long  -"
    }

    private fun exitCodeOf(vararg args: String): ExitCode {
        var code = ExitCode.OK
        standardErrorOf { code = run(args.toList()) }
        return code
    }

    private fun standardErrorOf(block: () -> Unit): String {
        val original = System.err
        val bytes = ByteArrayOutputStream()
        System.setErr(PrintStream(bytes))
        try {
            block()
        } finally {
            System.setErr(original)
        }
        return bytes.toString()
    }

    private fun file(name: String, text: String): String =
        File(directory.toFile(), name).apply { writeText(text) }.path
}
