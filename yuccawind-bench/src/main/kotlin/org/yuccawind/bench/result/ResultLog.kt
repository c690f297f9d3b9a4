package org.yuccawind.bench.result

import java.io.File
import java.util.Locale
import kotlinx.serialization.json.Json

private const val FILE_NAME = "runs.jsonl"

/**
 * Stores benchmark runs in a JSON Lines file.
 *
 * @property directory directory of the file; `results` in the project directory by default
 */
class ResultLog(
    private val directory: File = File(System.getenv("YUCCAWIND_HOME") ?: ".", "results")
) {
    private val file get() = File(directory, FILE_NAME)

    /** Appends [result] to the file, then prints it as a table and as a line of key=value pairs. */
    fun save(result: RunResult) {
        val version = ResultLog::class.java.`package`.implementationVersion ?: "development"
        val cores = Runtime.getRuntime().availableProcessors()
        val run = SavedRun(result, version, cores, System.currentTimeMillis())
        directory.mkdirs()
        file.appendText(Json.encodeToString(SavedRun.serializer(), run) + "\n")
        print(table(result))
        println(line(run))
    }

    /** All saved runs, oldest first. */
    fun runs(): List<SavedRun> = if (file.isFile) {
        file.readLines().map { Json.decodeFromString(SavedRun.serializer(), it) }
    } else {
        emptyList()
    }

    internal companion object {
        fun table(result: RunResult): String {
            val width = result.figures.maxOfOrNull { it.name.length } ?: 0
            return result.figures.joinToString("") { figure ->
                "${figure.name.padEnd(width)}  ${format(figure.value).padStart(12)}\n"
            }
        }

        fun line(run: SavedRun): String {
            val result = run.result
            val origin = "command=${result.command} seed=${result.seed} version=${run.version} " +
                "cores=${run.cores}"
            val figures = result.sizes + result.figures
            return figures.joinToString(" ", "$origin ") { "${it.name}=${format(it.value)}" }
        }

        private fun format(value: Double) = if (value == value.toLong().toDouble()) {
            value.toLong().toString()
        } else {
            String.format(Locale.ROOT, "%.3f", value)
        }
    }
}
