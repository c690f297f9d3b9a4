package org.yuccawind.core.time

import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.junit.jupiter.api.Test

class SuspensionDetectorTest {
    private val monotonic = TestTimeSource()
    private var wallMs = 1_700_000_000_000
    private val start = monotonic.markNow()
    private val detector = SuspensionDetector(monotonic) { wallMs }

    @Test
    fun `drift within the tolerance is no suspension`() {
        repeat(100) {
            monotonic += 50.milliseconds
            wallMs += if (it % 2 == 0) 80 else 20
            detector.resumedAt() shouldBe start
        }
    }

    @Test
    fun `time that passes only on the wall clock is a suspension`() {
        monotonic += 1.seconds
        wallMs += 5_000
        detector.resumedAt() shouldBe start + 1.seconds
        monotonic += 1.seconds
        wallMs += 1_000
        detector.resumedAt() shouldBe start + 1.seconds
    }

    @Test
    fun `short suspensions add up`() {
        repeat(6) {
            detector.resumedAt()
            monotonic += 100.milliseconds
            wallMs += 120
        }
        (detector.resumedAt() > start) shouldBe true
    }

    @Test
    fun `preemption between the clock readings is no suspension`() {
        var isInterrupted = true
        val detector = SuspensionDetector(monotonic) {
            if (isInterrupted) {
                monotonic += 300.milliseconds
                wallMs += 300
            }
            wallMs.also { isInterrupted = false }
        }
        repeat(5) {
            isInterrupted = it % 2 == 0
            detector.resumedAt() shouldBe start
        }
    }

    @Test
    fun `a backward step of the wall clock counts as a suspension because it may hide one`() {
        monotonic += 1.seconds
        wallMs -= 2_000
        detector.resumedAt() shouldBe start + 1.seconds
    }
}
