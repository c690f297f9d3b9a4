package org.yuccawind.core.admission

import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource
import org.junit.jupiter.api.Test

class PrimaryAdmissionTest {
    private val time = TestTimeSource()

    @Test
    fun `an instance right after its start leaves the client time for other instances`() {
        val demand = demand(goal = 400.milliseconds, timeout = 1_000.milliseconds)
        PrimaryAdmission.decide(PrimaryBelief.NotSeenYet, demand) shouldBe
            Admission.Wait(500.milliseconds)
        time += 500.milliseconds
        PrimaryAdmission.decide(PrimaryBelief.NotSeenYet, demand) shouldBe
            Admission.Refuse(RefusalReason.NO_PRIMARY_YET)
    }

    @Test
    fun `a change of primary is waited for only if it ends within the time left`() {
        val demand = demand(goal = 400.milliseconds, timeout = 1_000.milliseconds)
        PrimaryAdmission.decide(PrimaryBelief.Lost(1_900.milliseconds), demand) shouldBe
            Admission.Refuse(RefusalReason.PRIMARY_LOST, 1_100.milliseconds)
        PrimaryAdmission.decide(PrimaryBelief.Lost(2_100.milliseconds), demand) shouldBe
            Admission.Wait(900.milliseconds)
        PrimaryAdmission.decide(PrimaryBelief.Lost(3_000.milliseconds), demand) shouldBe
            Admission.Refuse(RefusalReason.PRIMARY_LOST)
    }

    @Test
    fun `an instance that is cut off refuses at once`() {
        val demand = demand(goal = 400.milliseconds, timeout = 1_000.milliseconds)
        PrimaryAdmission.decide(PrimaryBelief.CutOff, demand) shouldBe
            Admission.Refuse(RefusalReason.PRIMARY_LOST)
    }

    @Test
    fun `a short lack of evidence is waited for`() {
        val demand = demand(goal = 200.milliseconds, timeout = 1_000.milliseconds)
        time += 300.milliseconds
        PrimaryAdmission.decide(PrimaryBelief.Expected, demand) shouldBe
            Admission.Wait(700.milliseconds)
    }

    @Test
    fun `no wait goes beyond the deadline`() {
        val beliefs = listOf(PrimaryBelief.Expected, PrimaryBelief.NotSeenYet) +
            (0..3_000 step 50).map { PrimaryBelief.Lost(it.milliseconds) }
        for (timeout in 50..3_000 step 50) {
            val demand = demand(goal = 1_500.milliseconds, timeout = timeout.milliseconds)
            for (belief in beliefs) {
                val decision = PrimaryAdmission.decide(belief, demand)
                if (decision is Admission.Wait) {
                    (decision.limit <= timeout.milliseconds) shouldBe true
                    (decision.limit > Duration.ZERO) shouldBe true
                }
            }
            time += timeout.milliseconds
            beliefs.forEach {
                PrimaryAdmission.decide(it, demand).shouldBeInstanceOf<Admission.Refuse>()
            }
        }
    }

    private fun demand(goal: Duration, timeout: Duration) =
        time.markNow().let { StatementDemand(it, it + timeout, goal, priority = 0) }
}
