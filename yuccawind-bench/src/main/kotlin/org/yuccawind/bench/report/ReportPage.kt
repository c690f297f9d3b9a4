package org.yuccawind.bench.report

import java.time.Instant
import java.util.Locale
import org.yuccawind.bench.result.SavedRun

private const val STYLE = "body{font:14px sans-serif;margin:2em;max-width:60em}" +
    "table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:2px 8px;text-align:left}" +
    "td.n{text-align:right}svg{margin:1em 1em 0 0}"

/** Renders the report as a self-contained HTML page. */
internal object ReportPage {
    /** Renders, for each command in [runs], the newest run and the trend of each figure. */
    fun html(runs: List<SavedRun>): String = buildString {
        append("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">")
        append("<title>yuccawind measurements</title><style>$STYLE</style></head><body>")
        append("<h1>yuccawind measurements</h1>")
        runs.groupBy { it.result.command }.forEach { (command, all) -> section(command, all) }
        append("</body></html>\n")
    }

    private fun StringBuilder.section(command: String, runs: List<SavedRun>) {
        val newest = runs.last()
        append("<h2>${escapeHtml(command)}</h2><p>Newest of ${runs.size}: ")
        append("${Instant.ofEpochMilli(newest.finishedAtEpochMs)}, ")
        append("version ${escapeHtml(newest.version)}, seed ${newest.result.seed}, ")
        append("${newest.cores} cores")
        newest.result.sizes.forEach { append(", ${escapeHtml(it.name)} ${format(it.value)}") }
        append("</p><table><tr><th>figure</th><th>newest</th><th>over the runs</th></tr>")
        for (figure in newest.result.figures) {
            val values = runs.mapNotNull { run ->
                run.result.figures.find { it.name == figure.name }?.value
            }
            append(
                "<tr><td>${escapeHtml(figure.name)}</td>" +
                    "<td class=\"n\">${format(figure.value)}</td>"
            )
            append("<td>${Plot.sparkline(values)}</td></tr>")
        }
        append("</table>")
        newest.result.series.forEach { append(Plot.lineChart(it)) }
    }

    private fun format(value: Double) = String.format(Locale.ROOT, "%.3f", value)
}

/** Replaces the HTML special characters in [text] by entities. */
internal fun escapeHtml(text: String) = text.replace("&", "&amp;").replace("<", "&lt;")
    .replace(">", "&gt;").replace("\"", "&quot;")
