package org.yuccawind.core.time

import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.junit.jupiter.api.Test

class SuspensionWatchTest {
    private val steady = TestTimeSource()
    private var wallMs = 1_700_000_000_000
    private val start = steady.markNow()
    private val watch = SuspensionWatch(steady) { wallMs }

    @Test
    fun `clocks that run alike show no suspension`() {
        repeat(100) {
            steady += 50.milliseconds
            wallMs += if (it % 2 == 0) 80 else 20
            watch.resumedAt() shouldBe start
        }
    }

    @Test
    fun `time that only the time of day counts is a suspension`() {
        steady += 1.seconds
        wallMs += 5_000
        watch.resumedAt() shouldBe start + 1.seconds
        steady += 1.seconds
        wallMs += 1_000
        watch.resumedAt() shouldBe start + 1.seconds
    }

    @Test
    fun `several short suspensions add up to one`() {
        repeat(6) {
            watch.resumedAt()
            steady += 100.milliseconds
            wallMs += 120
        }
        (watch.resumedAt() > start) shouldBe true
    }

    @Test
    fun `a thread that loses the processor between the two clocks is no suspension`() {
        var isInterrupted = true
        val watch = SuspensionWatch(steady) {
            if (isInterrupted) {
                steady += 300.milliseconds
                wallMs += 300
            }
            wallMs.also { isInterrupted = false }
        }
        repeat(5) {
            isInterrupted = it % 2 == 0
            watch.resumedAt() shouldBe start
        }
    }

    @Test
    fun `a step back may hide a suspension and counts as one`() {
        steady += 1.seconds
        wallMs -= 2_000
        watch.resumedAt() shouldBe start + 1.seconds
    }
}
