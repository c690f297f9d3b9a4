package org.yuccawind.core.load

import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.junit.jupiter.api.Test
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.port.DecisionLog

class GroupLoadTest {
    private val time = TestTimeSource()
    private val server = BackendServerName("a")
    private val kind = LoadKind("bookings")
    private val idle = mapOf(server to ServerState.IDLE)

    @Test
    fun `a home learns from the answers that others report`() {
        val load = groupLoad("home")
        repeat(5) {
            load.receive(report("other", isGathered = false), setOf(server))
            learn(load)
        }
        val known = load.loadOf(server).shouldNotBeNull()
        known.answerTime.inWholeMicroseconds.toDouble().shouldBeBetween(9_000.0, 11_000.0, 0.0)
        known.inProgress shouldBeGreaterThan 0.9
    }

    @Test
    fun `a gathered report is learned from but not passed on`() {
        val load = groupLoad("home")
        load.receive(report("home of another zone", isGathered = true), setOf(server))
        load.takeReport(idle, passesOn = true).shouldBeNull()
        load.receive(report("other", isGathered = false), setOf(server))
        load.takeReport(idle, passesOn = true)?.servers?.single()?.kinds shouldBe
            listOf(KindCounters(kind, ANSWERS, ANSWERS * ANSWER_US))
    }

    @Test
    fun `what was measured across a suspension is dropped`() {
        val load = groupLoad("home")
        val sentAt = time.markNow()
        load.accept(mapOf(server to ServerLoad(4.0, 1.0, 0.0, time.markNow())))
        time += 3.seconds
        load.discardBefore(time.markNow())
        load.recordAnswer(server, kind, sentAt)
        load.recordFailure(server, sentAt)
        load.takeReport(idle, passesOn = false).shouldBeNull()
        load.loadOf(server).shouldBeNull()
    }

    @Test
    fun `a view counts from before it was requested, and for a bounded time`() {
        val load = groupLoad("other")
        time += 1.seconds
        val sentAt = time.markNow()
        time += 100.milliseconds
        val view = ServerView(server, 4.0, 1.0, 0.0, ANSWER_US, 0.0, 1.0, ageUs = 400_000)
        val received = view.toLoad(sentAt).shouldNotBeNull()
        received.observedAt.elapsedNow() shouldBe 500.milliseconds
        load.accept(mapOf(server to received))
        time += 1_500.milliseconds
        load.loadOf(server) shouldBe received
        time += 1.milliseconds
        load.loadOf(server).shouldBeNull()
    }

    @Test
    fun `an older view does not replace a newer one`() {
        val load = groupLoad("other")
        val older = ServerLoad(1.0, 1.0, 0.0, time.markNow())
        time += 1.milliseconds
        val newer = ServerLoad(4.0, 1.0, 0.0, time.markNow())
        load.accept(mapOf(server to newer))
        load.accept(mapOf(server to older))
        load.loadOf(server) shouldBe newer
    }

    @Test
    fun `figures out of range and unknown servers are left out`() {
        val load = groupLoad("home")
        val odd = ServerCounters(server, listOf(KindCounters(kind, -1, 5)))
        load.receive(LoadReport("other", isGathered = false, listOf(odd)), setOf(server))
        load.receive(report("other", isGathered = false), known = emptySet())
        load.takeReport(idle, passesOn = true).shouldBeNull()
        ServerView(server, Double.NaN, 1.0, 0.0, 5, 0.0, 0.0, 0).toLoad(time.markNow())
            .shouldBeNull()
    }

    private fun groupLoad(self: String) = GroupLoad("service", self, time, DecisionLog.NONE)

    private fun learn(load: GroupLoad) {
        time += 200.milliseconds
        load.learn(idle, mapOf(server to 4))
    }

    private fun report(from: String, isGathered: Boolean): LoadReport {
        val kinds = listOf(KindCounters(kind, ANSWERS, ANSWERS * ANSWER_US))
        return LoadReport(from, isGathered, listOf(ServerCounters(server, kinds)))
    }

    private companion object {
        const val ANSWERS = 20
        const val ANSWER_US = 10_000L
    }
}
