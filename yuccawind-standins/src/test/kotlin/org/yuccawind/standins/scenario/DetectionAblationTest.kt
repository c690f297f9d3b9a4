package org.yuccawind.standins.scenario

import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.junit.jupiter.api.Test
import org.yuccawind.core.failover.DetectionPolicy
import org.yuccawind.standins.database.DatabaseFaults
import org.yuccawind.standins.network.LinkSettings

private val FAULT_FREE_TIME = 10.minutes
private val MAX_FREEZE_GAP = 5_000.milliseconds
private val LINK = LinkSettings(3.milliseconds, variation = 3.0, loss = 0.02)

/** Ten minutes with message loss and varying delay, then a frozen primary, in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
class DetectionAblationTest {
    @Test
    fun `adaptive detection promotes nothing without a fault and replaces a frozen primary`() =
        runTest(timeout = 2.minutes) {
            val outcome = measure("adaptive", DetectionPolicy.Adaptive())
            outcome.falsePromotions shouldBe 0
            outcome.gap shouldBeLessThanOrEqualTo MAX_FREEZE_GAP
        }

    @Test
    fun `a short fixed timeout replaces healthy primaries`() = runTest(timeout = 2.minutes) {
        val policy = DetectionPolicy.Fixed(300.milliseconds)
        measure("fixed_300", policy).falsePromotions shouldBeGreaterThan 0
    }

    @Test
    fun `a long fixed timeout has a longer gap`() = runTest(timeout = 2.minutes) {
        val adaptive = measure("adaptive", DetectionPolicy.Adaptive(), faultFree = 1.minutes)
        val fixed = DetectionPolicy.Fixed(3_000.milliseconds)
        measure("fixed_3000", fixed, faultFree = 1.minutes).gap shouldBeGreaterThan adaptive.gap
    }

    private suspend fun TestScope.measure(
        name: String,
        policy: DetectionPolicy,
        faultFree: Duration = FAULT_FREE_TIME
    ): Outcome {
        val group = VirtualGroup(this, instances = 3, detection = policy, link = LINK)
        group.start()
        val first = group.write(group.runtimes[0], "first", "put k a").getOrNull()!!
        delay(faultFree)
        val last = group.write(group.runtimes[0], "last", "put k b").getOrNull()!!
        val changes = (last.point.term - first.point.term).toInt()
        val frozenAt = testTimeSource.markNow()
        group.nodes[group.indexOf(last.server)].inject(DatabaseFaults(frozen = true))
        group.write(group.runtimes[1], "next", "put k c", ms = 15_000).getOrNull()!!
        val gap = frozenAt.elapsedNow()
        println("detection=$name quiet=$faultFree false_promotions=$changes freeze_gap=$gap")
        return Outcome(changes, gap)
    }

    private data class Outcome(val falsePromotions: Int, val gap: Duration)
}
