package org.yuccawind.proxy.docs

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import java.io.File
import org.junit.jupiter.api.Test

private val GLOSSARY_ROW = Regex("""^\|.*\| `(\w+)` \|$""", RegexOption.MULTILINE)
private val DECLARATION = Regex("""\b(?:class|interface|object) (\w+)""")

class GlossaryTest {
    @Test
    fun `every identifier in the glossary is declared in the code`() {
        val names = GLOSSARY_ROW.findAll(File("../docs/GLOSSARY.md").readText())
            .map { it.groupValues[1] }
            .toSet()
        names.shouldNotBeEmpty()
        val declared = File("..").listFiles().orEmpty()
            .map { File(it, "src/main/kotlin") }
            .filter(File::isDirectory)
            .flatMap { module -> module.walk().filter { it.extension == "kt" } }
            .flatMap { DECLARATION.findAll(it.readText()) }
            .map { it.groupValues[1] }
            .toSet()
        (names - declared).toList().shouldBeEmpty()
    }
}
