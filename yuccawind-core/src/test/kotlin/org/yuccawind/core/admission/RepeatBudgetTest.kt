package org.yuccawind.core.admission

import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.junit.jupiter.api.Test

class RepeatBudgetTest {
    private val time = TestTimeSource()
    private val budget = RepeatBudget(time, Random(1))

    @Test
    fun `repetitions stay a share of the successes when servers are busy for long`() {
        var repeats = 0
        repeat(SUCCESSES) {
            budget.recordSuccess()
            repeat(5) { if (budget.tryRepeat()) repeats++ }
            time += 10.milliseconds
        }
        // A fifth of the successes, 5 a second for 10 s, and 40 saved up.
        repeats shouldBeLessThanOrEqual SUCCESSES / 5 + 50 + 40
    }

    @Test
    fun `a budget that was used up finds a server that recovers`() {
        repeat(1_000) { budget.tryRepeat() }
        budget.tryRepeat() shouldBe false
        time += 1.seconds
        budget.tryRepeat() shouldBe true
    }

    @Test
    fun `delays grow and are spread`() {
        val first = List(100) { budget.delayAfter(1) }
        val later = List(100) { budget.delayAfter(20) }
        (first.max() < later.min()) shouldBe true
        (later.toSet().size > 90) shouldBe true
    }

    private companion object {
        const val SUCCESSES = 1_000
    }
}
