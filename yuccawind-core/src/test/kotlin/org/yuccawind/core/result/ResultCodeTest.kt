package org.yuccawind.core.result

import io.kotest.matchers.collections.shouldBeUnique
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import java.io.File
import org.junit.jupiter.api.Test

class ResultCodeTest {
    @Test
    fun `the table in the documentation lists exactly the result codes`() {
        val rows = File("../docs/RESULT-CODES.md").readLines().filter {
            it.matches(Regex("""\| \d.*"""))
        }
        rows shouldContainExactlyInAnyOrder ResultCode.entries.map {
            "| ${it.number} | $it | ${it.httpStatus} | ${it.outcome} | ${it.meaning} |"
        }
    }

    @Test
    fun `numbers are unique`() {
        ResultCode.entries.map { it.number }.shouldBeUnique()
    }
}
