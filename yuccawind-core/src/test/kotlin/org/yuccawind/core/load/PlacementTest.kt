package org.yuccawind.core.load

import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource
import org.junit.jupiter.api.Test

class PlacementTest {
    private val now = TestTimeSource().markNow()
    private val random = Random(1)

    @Test
    fun `all reads stay in the zone while its server has room`() {
        sentOf1000(near(), remote("b"), remote("c")) shouldBe mapOf("near" to 1_000)
    }

    @Test
    fun `a full near server gives a part of the reads to both others`() {
        val sent = sentOf1000(near(occupied = 4.0), remote("b"), remote("c"))
        sent.getValue("near") shouldBeInRange 400..600
        sent.getValue("b") shouldBeInRange 200..300
        sent.getValue("c") shouldBeInRange 200..300
    }

    @Test
    fun `a full near server keeps the reads if the others are as full`() {
        val others = listOf(remote("b", occupied = 4.0), remote("c", occupied = 4.0))
        sentOf1000(near(occupied = 4.0), *others.toTypedArray()) shouldBe mapOf("near" to 1_000)
    }

    @Test
    fun `a near server that is slow even when idle gets its part only`() {
        val sent = sentOf1000(near(answerMs = 60), remote("b"), remote("c"))
        sent.getValue("near") shouldBeLessThan 200
    }

    @Test
    fun `a near server that fails some statements is avoided, unless all fail as many`() {
        val failing = near(failedShare = 0.4)
        val sent = sentOf1000(failing, remote("b"), remote("c"))
        (sent["near"] ?: 0) shouldBeLessThan 100
        sentOf1000(failing, remote("b", failedShare = 0.4)) shouldBe mapOf("near" to 1_000)
    }

    @Test
    fun `reads beyond the limit go to another zone at once if they are this instance's own`() {
        sentOf1000(near(ownDemand = 4), remote("b"), remote("c"))["near"] shouldBe null
    }

    @Test
    fun `servers of one zone are used by what they take`() {
        val sent = sentOf1000(near("half", limit = 2.0), near("full"))
        sent.getValue("full") shouldBeGreaterThan 600
        sent.getValue("half") shouldBeInRange 250..400
    }

    @Test
    fun `every server is in the order once`() {
        val candidates = listOf(near(), remote("b"), remote("c"))
        Placement.order(candidates, random) shouldContainExactlyInAnyOrder listOf("near", "b", "c")
        Placement.order(emptyList<Placement.Candidate<String>>(), random) shouldBe emptyList()
    }

    private fun sentOf1000(vararg candidates: Placement.Candidate<String>) =
        List(1_000) { Placement.order(candidates.toList(), random).first() }
            .groupingBy { it }.eachCount()

    private fun near(
        name: String = "near",
        limit: Double = 4.0,
        occupied: Double = 1.0,
        answerMs: Int = 15,
        failedShare: Double = 0.0,
        ownDemand: Int = 0
    ) = Placement.Candidate(
        name,
        ServerLoad(limit, occupied, 0.0, now, answerMs.milliseconds, failedShare, occupied),
        failedShare,
        ownDemand,
        Duration.ZERO
    )

    private fun remote(name: String, occupied: Double = 1.0, failedShare: Double = 0.0) =
        near(name, occupied = occupied, failedShare = failedShare)
            .copy(distance = 8.milliseconds)
}
