package org.yuccawind.standins.config

import io.kotest.common.ExperimentalKotest
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.time.Duration.Companion.minutes
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test

private const val RUNS = 60
private const val FLEET_SIZE = 8

@OptIn(ExperimentalKotest::class)
class ConfigSpreadPropertyTest {
    @Test
    fun `no accepted change is lost or reverted and one of two conflicting changes is accepted`() =
        runTest(timeout = 2.minutes) {
            checkAll(RUNS, PropTestConfig(seed = 20_261_204), Arb.long()) { seed ->
                violationsOf(seed).shouldBeEmpty()
            }
        }

    @Test
    fun `a table that installs the last received record is detected as reverting`() {
        var reverts = 0
        for (seed in 1L..20L) {
            runTest {
                val fleet =
                    VirtualFleet(this, FLEET_SIZE, seed) { VirtualFleet.LastReceivedTable(it) }
                ConfigFaultSchedule(this, fleet, seed).run()
                reverts += fleet.reverts
            }
        }
        reverts shouldBeGreaterThan 0
    }

    private fun violationsOf(seed: Long): List<String> {
        val violations = ArrayList<String>()
        runTest {
            val fleet = VirtualFleet(this, FLEET_SIZE, seed)
            val schedule = ConfigFaultSchedule(this, fleet, seed)
            schedule.run()
            violations += schedule.violations
        }
        return violations
    }
}
