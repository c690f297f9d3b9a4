package org.yuccawind.bench.load

import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test

class LoadGeneratorTest {
    @Test
    fun `at a fixed rate latency is measured from the scheduled send time`() = runBlocking<Unit> {
        var first = true
        val target = LoadTarget {
            if (first) delay(100)
            first = false
            true
        }
        val result = LoadGenerator(1).run(target, LoadModel.FixedRate(100), 200.milliseconds)
        result.latencies.totalCount shouldBe 20
        result.percentileMs(75.0) shouldBeGreaterThanOrEqual 50.0
    }

    @Test
    fun `statements without a result count as failures and have no latency`() = runBlocking<Unit> {
        val result = LoadGenerator(2).run({ false }, LoadModel.FixedRate(100), 100.milliseconds)
        result.failures shouldBe 10
        result.latencies.totalCount shouldBe 0
    }
}
