package org.yuccawind.bench.result

import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.nio.file.Path
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir

class ResultLogTest {
    @TempDir
    lateinit var directory: Path

    private val result = RunResult(
        "throughput",
        7,
        listOf(Figure("seconds", 20.0)),
        listOf(Figure("p99_added_ms", 1.25))
    )

    @Test
    fun `runs are read in the order in which they were saved`() {
        val log = ResultLog(directory.toFile())
        log.save(result)
        log.save(result.copy(seed = 8))
        log.runs().map { it.result.seed } shouldBe listOf(7L, 8L)
        log.runs().first().cores shouldBe Runtime.getRuntime().availableProcessors()
    }

    @Test
    fun `the line contains command, seed, version, cores, sizes and figures`() {
        val line = ResultLog.line(SavedRun(result, "0.1.0", 10, 0))
        line shouldContain "command=throughput seed=7 version=0.1.0 cores=10 seconds=20 "
        line shouldContain "p99_added_ms=1.250"
    }
}
