package org.yuccawind.bench.report

import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.junit.jupiter.api.Test
import org.yuccawind.bench.result.Figure
import org.yuccawind.bench.result.Point
import org.yuccawind.bench.result.RunResult
import org.yuccawind.bench.result.SavedRun
import org.yuccawind.bench.result.Series

class ReportPageTest {
    private val series = Series("cost <&>", "services", "percent", listOf(Point(1.0, 2.0)))

    @Test
    fun `the page shows each figure and loads no external resources`() {
        val html = ReportPage.html(List(2) { run(it.toDouble()) })
        html shouldContain "<td>p99_added_ms</td><td class=\"n\">1.000</td>"
        html shouldContain "polyline"
        html shouldContain "cost &lt;&amp;&gt;"
        listOf("http://", "https://", "src=", "href=").forEach { html shouldNotContain it }
    }

    private fun run(value: Double): SavedRun {
        val figures = listOf(Figure("p99_added_ms", value))
        return SavedRun(
            RunResult("throughput", 0, emptyList(), figures, listOf(series)),
            "1",
            10,
            0
        )
    }
}
