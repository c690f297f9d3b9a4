package org.yuccawind.core.load

import io.kotest.assertions.withClue
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import kotlin.time.Duration
import org.junit.jupiter.api.Test

/** Learned limits and placement by them, in virtual time. */
class UnevenServersTest {
    @Test
    fun `the limits settle within two seconds of a change and hold within a fifth`() {
        for (instances in FLEETS) {
            val before = ArrayList<List<Double>>()
            val after = ArrayList<List<Double>>()
            repeat(SEEDS) { seed ->
                val run = Simulation(instances, Simulation.LEARNED, PRESSING_RATE, seed = seed)
                run.run(QUIET_SECONDS)
                makeUneven(run)
                run.run(SETTLING_SECONDS)
                before += meanLimits(run)
                run.models[0] = ServerModel(slots = 2)
                run.models[1] = ServerModel()
                run.run(SETTLING_SECONDS)
                after += meanLimits(run)
            }
            expectLimits(before, listOf(4.0, 2.0, 2.0), "$instances instances")
            expectLimits(after, listOf(2.0, 4.0, 2.0), "$instances instances, roles changed")
        }
    }

    @Test
    fun `more statements are in their goal than with fixed weights or least in flight`() {
        for (instances in FLEETS) {
            val learned = shareInGoal(instances, Simulation.LEARNED)
            withClue("$instances instances") {
                learned shouldBeGreaterThan shareInGoal(instances, Simulation.FIXED_WEIGHTS)
                val least = shareInGoal(instances, Simulation.LEAST_IN_FLIGHT)
                // A single instance knows every queue, so little can be gained there.
                learned shouldBeGreaterThan if (instances == 1) least - 0.02 else least
            }
        }
    }

    @Test
    fun `own answers alone do not show the limits to one of 86 instances`() {
        val run = Simulation(86, Simulation.LEARNED, PRESSING_RATE, isPooled = false)
        run.run(QUIET_SECONDS)
        makeUneven(run)
        run.run(SETTLING_SECONDS)
        meanLimits(run)[1] shouldBeGreaterThan 2.0 * (1 + TOLERANCE)
        shareInGoal(86, Simulation.LEARNED, isPooled = false) shouldBeLessThan
            shareInGoal(86, Simulation.LEARNED)
    }

    @Test
    fun `a server that was very slow is used again within ten seconds`() {
        val run = recovered { LimitLearner() }
        run.resetCounts()
        limitOfRecovered(run) shouldBeGreaterThan 4.0 * (1 - TOLERANCE)
        percentSentTo(run, 1) shouldBeGreaterThan FAIR_SHARE_PERCENT * 2 / 3
    }

    @Test
    fun `without floor and probing the limit of a server that recovered stays too low`() {
        val run = recovered { LimitLearner(minLimit = 0.0, recoveryTime = Duration.INFINITE) }
        limitOfRecovered(run) shouldBeLessThan 4.0 * (1 - TOLERANCE)
    }

    @Test
    fun `a long kind of statement lowers no limit, unless the kinds are mixed`() {
        lowestLimitWithMoreLongOnes(areKindsTold = true) shouldBeGreaterThan 4.0 * (1 - TOLERANCE)
        lowestLimitWithMoreLongOnes(areKindsTold = false) shouldBeLessThan 4.0 * (1 - TOLERANCE)
    }

    @Test
    fun `a server that fails a share of its statements gets few until it is well`() {
        val run = Simulation(16, Simulation.LEARNED, QUIET_RATE)
        run.run(QUIET_SECONDS)
        run.models[1] = ServerModel(failing = 0.4)
        run.run(SETTLING_SECONDS)
        run.resetCounts()
        run.run(MEASURED_SECONDS)
        percentSentTo(run, 1) shouldBeLessThan FAIR_SHARE_PERCENT / 3
        run.models[1] = ServerModel()
        run.run(MEASURED_SECONDS)
        run.resetCounts()
        run.run(MEASURED_SECONDS)
        percentSentTo(run, 1) shouldBeGreaterThan FAIR_SHARE_PERCENT * 2 / 3
    }

    private fun makeUneven(run: Simulation) {
        run.models[1] = ServerModel(slots = 2)
        run.models[2] = ServerModel(kneeAt = 2)
    }

    /** Checks the means over all [runs], each the mean over ten seconds. */
    private fun expectLimits(runs: List<List<Double>>, expected: List<Double>, clue: String) {
        for ((server, limit) in expected.withIndex()) {
            val mean = runs.map { it[server] }.average()
            withClue("$clue, server $server") {
                mean.shouldBeBetween(limit * (1 - TOLERANCE), limit * (1 + TOLERANCE), 0.0)
            }
        }
    }

    private fun meanLimits(run: Simulation): List<Double> {
        val sums = DoubleArray(Simulation.NAMES.size)
        var periods = 0
        run.run(MEASURED_SECONDS) {
            periods++
            sums.indices.forEach { sums[it] += run.learnerOf(instance = 0, it).limit }
        }
        return sums.map { it / periods }
    }

    private fun shareInGoal(instances: Int, policy: Policy, isPooled: Boolean = true): Double {
        val run = Simulation(instances, policy, BUSY_RATE, isPooled)
        run.run(QUIET_SECONDS)
        run.models[1] = ServerModel(slots = 2)
        run.models[2] = ServerModel(kneeAt = 2, crowding = 2.0)
        run.resetCounts()
        run.run(MEASURED_SECONDS)
        run.models[0] = ServerModel(slots = 2)
        run.models[1] = ServerModel()
        run.run(MEASURED_SECONDS)
        return run.inGoal.toDouble() / run.finished
    }

    /** Returns a run in which a server was very slow and has been well for ten seconds. */
    private fun recovered(newLearner: () -> LimitLearner): Simulation {
        val run = Simulation(86, Simulation.LEARNED, QUIET_RATE, newLearner = newLearner)
        run.run(QUIET_SECONDS)
        run.models[1] = ServerModel(slowdown = 30.0)
        run.run(MEASURED_SECONDS)
        run.models[1] = ServerModel()
        run.run(MEASURED_SECONDS)
        return run
    }

    private fun limitOfRecovered(run: Simulation) = meanLimits(run)[1]

    private fun lowestLimitWithMoreLongOnes(areKindsTold: Boolean): Double {
        val run =
            Simulation(16, Simulation.LEARNED, QUIET_RATE, areKindsTold = areKindsTold)
        run.longShare = 0.05
        run.run(QUIET_SECONDS)
        run.longShare = 0.6
        val limits = meanLimits(run)
        return limits.min()
    }

    private fun percentSentTo(run: Simulation, server: Int) =
        PERCENT * run.sentTo[server] / run.sentTo.sum()

    private companion object {
        val FLEETS = listOf(1, 16, 86)
        const val SEEDS = 6
        const val TOLERANCE = 0.2
        const val QUIET_SECONDS = 6.0
        const val SETTLING_SECONDS = 2.0
        const val MEASURED_SECONDS = 10.0
        const val PRESSING_RATE = 450.0
        const val BUSY_RATE = 320.0
        const val QUIET_RATE = 200.0
        const val PERCENT = 100
        const val FAIR_SHARE_PERCENT = 33
    }
}
