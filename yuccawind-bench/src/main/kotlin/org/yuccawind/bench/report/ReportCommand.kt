package org.yuccawind.bench.report

import java.io.File
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.yuccawind.bench.result.ResultLog
import org.yuccawind.standins.cli.CommandLine
import org.yuccawind.standins.cli.EXIT_FAILED
import org.yuccawind.standins.cli.EXIT_OK

/** Command that renders the saved runs as an HTML page. */
internal class ReportCommand {
    /** Writes the page and returns the exit code. */
    fun run(args: Array<String>): Int {
        val parser = ArgParser("yuccawind-bench report")
        val home = System.getenv("YUCCAWIND_HOME") ?: "."
        val output by parser.option(ArgType.String, description = "file to write")
            .default("$home/results/report.html")
        CommandLine("yuccawind-bench").parse(parser, args)
        val runs = ResultLog().runs()
        if (runs.isEmpty()) {
            println("report=failed detail=\"no saved runs\"")
            return EXIT_FAILED
        }
        val file = File(output).apply { absoluteFile.parentFile.mkdirs() }
        file.writeText(ReportPage.html(runs))
        println("report=ok runs=${runs.size} file=$output")
        return EXIT_OK
    }
}
