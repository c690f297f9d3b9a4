package org.yuccawind.core.admission

import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource
import org.junit.jupiter.api.Test

class ServerAdmissionTest {
    private val time = TestTimeSource()

    @Test
    fun `nothing is refused while a server that could serve has a free slot`() {
        for (waiting in 0 until MAX_WAITING step 100) {
            val full = room(inProgress = 6.0, ahead = waiting + 1.0, waiting = waiting)
            val free = room(inProgress = 5.0, ahead = 0.0)
            decide(1.milliseconds + free.answerTime, full, free) shouldBe Admission.Take
        }
    }

    @Test
    fun `what cannot be served in its time is refused on arrival, with the time to come back`() {
        // 6 slots of 50 ms: 300 statements in front take 2.5 s.
        val room = room(inProgress = 6.0, ahead = 300.0, waiting = 300)
        decide(1_000.milliseconds, room) shouldBe
            Admission.Refuse(RefusalReason.NO_ROOM, 1_550.milliseconds)
        decide(3_000.milliseconds, room) shouldBe Admission.Wait(2_950.milliseconds)
    }

    @Test
    fun `the number of waiting statements is bounded`() {
        val full = room(inProgress = 6.0, ahead = 1.0, waiting = MAX_WAITING)
        decide(3_000.milliseconds, full).shouldBeInstanceOf<Admission.Refuse>()
        decide(3_000.milliseconds, full, room(inProgress = 6.0, ahead = 1.0, waiting = 1))
            .shouldBeInstanceOf<Admission.Wait>()
    }

    private fun decide(timeLeft: Duration, vararg rooms: ServerRoom): Admission {
        val now = time.markNow()
        val demand = StatementDemand(now, now + timeLeft, 200.milliseconds, priority = 0)
        return ServerAdmission.decide(rooms.asList(), demand)
    }

    private fun room(inProgress: Double, ahead: Double, waiting: Int = 0) =
        ServerRoom(slots = 6.0, inProgress, ahead, waiting, answerTime = 50.milliseconds)
}
