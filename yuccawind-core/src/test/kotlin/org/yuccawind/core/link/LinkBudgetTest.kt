package org.yuccawind.core.link

import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import org.junit.jupiter.api.Test

class LinkBudgetTest {
    @Test
    fun `in a small fleet each instance keeps a connection`() {
        val budget = LinkBudget(maxConnections = 24, instances = 9, homes = 9, isHome = true)
        budget.ownFloor shouldBe 1
        budget.ownIdleTime(rate = 10.0, isServerFull = false) shouldBe LinkBudget.MAX_OWN_IDLE_TIME
    }

    @Test
    fun `just above the room for all, instances reuse nine of ten connections`() {
        val budget = LinkBudget(maxConnections = 46, instances = 29, homes = 16, isHome = false)
        val rate = 67.0 / 29
        val idleTime = budget.ownIdleTime(rate, isServerFull = false)
        hitRate(rate, idleTime) shouldBeGreaterThan 0.75
        (16 + 13 * hitRate(rate, idleTime)) shouldBeLessThan 46 * IDLE_CONNECTION_SHARE + 0.1
    }

    @Test
    fun `the idle time shrinks steadily with the number of instances`() {
        val times = (29..300 step 10).map {
            LinkBudget(46, it, homes = 16, isHome = false).ownIdleTime(2.0, isServerFull = false)
        }
        times shouldBe times.sortedDescending()
        times.last() shouldBeLessThan 300.milliseconds
    }

    @Test
    fun `idle connections of all instances stay below the share with many workspaces`() {
        for (instances in listOf(16, 49, 86, 300)) {
            val budget = LinkBudget(82, instances, homes = 16, isHome = false)
            for (total in listOf(5.0, 36.0, 200.0)) {
                val rates = List(85) { total / instances * (if (it == 0) 0.4 else 0.6 / 84) }
                val idleTime = budget.workspaceIdleTime(rates, isServerFull = false)
                if (idleTime <= LinkBudget.MIN_IDLE_TIME) continue
                val idle = instances * rates.sumOf { hitRate(it, idleTime) }
                (idle + 16) shouldBeLessThan 82 * IDLE_CONNECTION_SHARE + 0.1
            }
        }
    }

    @Test
    fun `without a list of the fleet nothing rests for long`() {
        val budget = LinkBudget(82, instances = null, homes = 1, isHome = false)
        budget.ownIdleTime(1.0, isServerFull = false) shouldBe LinkBudget.MIN_IDLE_TIME
        budget.workspaceIdleTime(listOf(1.0), isServerFull = false) shouldBe
            LinkBudget.MIN_IDLE_TIME
    }

    private fun hitRate(rate: Double, idleTime: Duration) =
        1 - exp(-rate * idleTime.toDouble(DurationUnit.SECONDS))
}
