package org.yuccawind.standins.scenario

import io.kotest.assertions.withClue
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.yuccawind.core.failover.Promotion
import org.yuccawind.core.failover.PromotionPhase
import org.yuccawind.standins.platform.PlatformFaults

/** Number of steps from Start to Done: read, take, fence, name, promote. */
private const val STEPS = 5

class PromotionStepsTest {
    @Test
    fun `two promoters in every interleaving of their steps lose and duplicate no write`() {
        for (order in interleavings(STEPS, STEPS)) {
            runTest {
                val group = initializedGroup()
                val promoters = List(2) { PromotionStepper(group.promoter("p$it", knownTerm = 1)) }
                for (turn in order) {
                    promoters[turn].step()
                    group.writeEverywhere()
                }
                withClue("order $order") { group.violation().shouldBeNull() }
            }
        }
    }

    @Test
    fun `two concurrent promoters result in one primary`() = runTest {
        val group = initializedGroup()
        List(2) { async { group.promoter("p$it", knownTerm = 1).run() } }.awaitAll()
        group.writeEverywhere()
        group.violation().shouldBeNull()
    }

    @Test
    fun `a promoter paused at each step does no harm on resume`() = forEachStep { step, group ->
        val paused = PromotionStepper(group.promoter("paused", knownTerm = 1))
        repeat(step) { paused.step() }
        group.writeEverywhere()
        group.promote("other", knownTerm = 1)
        group.writeEverywhere()
        group.awaitReplication()
        repeat(STEPS) {
            paused.step()
            group.writeEverywhere()
        }
        group.violation().shouldBeNull()
    }

    @Test
    fun `a promoter killed at each step is superseded by another`() = forEachStep { step, group ->
        val killed = PromotionStepper(group.promoter("killed", knownTerm = 1))
        repeat(step) { killed.step() }
        group.promote("other", knownTerm = 1)
        group.writeEverywhere()
        group.violation().shouldBeNull()
    }

    @Test
    fun `a server that was named but not promoted is promoted under the same term`() = runTest {
        val group = initializedGroup()
        val killed = PromotionStepper(group.promoter("killed", knownTerm = 1))
        repeat(STEPS - 1) { killed.step() }
        val named = killed.phase.shouldBeInstanceOf<PromotionPhase.Named>()
        group.promote("other", knownTerm = 1) shouldBe
            PromotionPhase.Done(named.term, named.primary)
    }

    @Test
    fun `a platform reply lost at each compare-and-swap is resolved by its nonce`() {
        for (swap in listOf(1, 3)) {
            runTest {
                val group = initializedGroup()
                val promoter = PromotionStepper(group.promoter("p", knownTerm = 1))
                repeat(swap) { promoter.step() }
                group.platform.inject(PlatformFaults(loseReplies = 1))
                promoter.step()
                group.platform.inject(PlatformFaults())
                repeat(STEPS) { promoter.step() }
                promoter.phase.shouldBeInstanceOf<PromotionPhase.Done>().term shouldBe 2
                group.violation().shouldBeNull()
            }
        }
    }

    @Test
    fun `a platform outage at each step stops the attempt and does no harm`() =
        forEachStep { step, group ->
            val promoter = PromotionStepper(group.promoter("p", knownTerm = 1))
            repeat(step) { promoter.step() }
            group.platform.inject(PlatformFaults(isOut = true))
            repeat(STEPS) { promoter.step() }
            group.platform.inject(PlatformFaults())
            group.writeEverywhere()
            group.violation().shouldBeNull()
        }

    private fun forEachStep(scenario: suspend (Int, PromotionTestGroup) -> Unit) {
        for (step in 0..STEPS) {
            runTest { withClue("step $step") { scenario(step, initializedGroup()) } }
        }
    }

    private suspend fun kotlinx.coroutines.test.TestScope.initializedGroup() =
        PromotionTestGroup(this).apply {
            promote("first")
            writeEverywhere()
            awaitReplication()
        }

    private fun interleavings(first: Int, second: Int): List<List<Int>> = when {
        first == 0 -> listOf(List(second) { 1 })

        second == 0 -> listOf(List(first) { 0 })

        else ->
            interleavings(first - 1, second).map { listOf(0) + it } +
                interleavings(first, second - 1).map { listOf(1) + it }
    }

    private class PromotionStepper(private val promotion: Promotion) {
        var phase: PromotionPhase = PromotionPhase.Start

        suspend fun step() {
            phase = promotion.step(phase)
        }
    }
}
