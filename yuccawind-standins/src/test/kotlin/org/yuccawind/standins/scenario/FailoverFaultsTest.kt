package org.yuccawind.standins.scenario

import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.junit.jupiter.api.Test
import org.yuccawind.core.config.Acknowledge
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.result.Outcome
import org.yuccawind.core.result.ResultCode
import org.yuccawind.standins.database.DatabaseFaults
import org.yuccawind.standins.platform.PlatformFaults

private val FAILOVER_LIMIT = 15_000.milliseconds

@OptIn(ExperimentalCoroutinesApi::class)
class FailoverFaultsTest {
    @Test
    fun `a write during a failover is queued and answered within its deadline`() = runTest {
        val group = VirtualGroup(this, instances = 3).apply { start() }
        val first = group.write(group.runtimes[0], "r1", "append k a").getOrNull()!!
        group.nodes[group.indexOf(first.server)].inject(DatabaseFaults(frozen = true))
        val startedAt = testTimeSource.markNow()
        group.write(group.runtimes[1], "r2", "append k b", ms = 15_000).isRight() shouldBe true
        startedAt.elapsedNow() shouldBeLessThan 5_000.milliseconds
    }

    @Test
    fun `an answer from a replaced primary is not acknowledged`() = runTest {
        val (rows, answer) = writeDuringReplacement(Acknowledge.MAJORITY)
        val acknowledged = answer.getOrNull()?.code == ResultCode.OK
        acknowledged shouldBe false
        if (answer.leftOrNull()?.code?.outcome == Outcome.NOT_RUN) rows shouldNotContain "late"
    }

    @Test
    fun `acknowledging at the primary loses a write to a replaced primary`() = runTest {
        val (rows, answer) = writeDuringReplacement(Acknowledge.PRIMARY)
        answer.getOrNull()?.code shouldBe ResultCode.OK
        rows shouldNotContain "late"
    }

    @Test
    fun `during a platform outage reads succeed and a refused write does not run`() = runTest {
        val group = VirtualGroup(this, instances = 3).apply { start() }
        val first = group.write(group.runtimes[0], "r1", "append k a").getOrNull()!!
        group.platform.inject(PlatformFaults(isOut = true))
        group.nodes[group.indexOf(first.server)].inject(DatabaseFaults(frozen = true))
        val refused = group.write(group.runtimes[1], "r2", "append k b", ms = 3_000).leftOrNull()
        val read = group.read(group.runtimes[1], "get k", first.point).getOrNull()
        read.shouldNotBeNull().rows shouldBe listOf("a")
        group.platform.inject(PlatformFaults())
        val third = group.write(group.runtimes[2], "r3", "append k c", ms = 15_000).getOrNull()!!
        val rows = group.read(group.runtimes[2], "get k", third.point).getOrNull()!!.values()
        rows shouldContain "c"
        if (refused.shouldNotBeNull().code.outcome == Outcome.NOT_RUN) rows shouldNotContain "b"
    }

    @Test
    fun `an instance whose own zone is cut off does not promote`() = runTest {
        val group = VirtualGroup(this, instances = 1).apply { start() }
        val first = group.write(group.runtimes[0], "r1", "append k a").getOrNull()!!
        val cut = setOf(group.zones[0].value)
        for (node in group.nodes) node.inject(DatabaseFaults(cutZones = cut))
        delay(FAILOVER_LIMIT)
        group.nodes.forEach { it.inject(DatabaseFaults()) }
        val second = group.write(group.runtimes[0], "r2", "append k b").getOrNull()!!
        second.point.term shouldBe first.point.term
    }

    @Test
    fun `an instance contradicted by a peer does not promote`() = runTest {
        isReplacedAfterPartialCut(witness = InstanceId("proxy-9")) shouldBe false
    }

    @Test
    fun `without a peer's evidence an instance replaces a primary that others reach`() = runTest {
        isReplacedAfterPartialCut(witness = null) shouldBe true
    }

    @Test
    fun `an old primary that rejoins follows the new one`() = runTest {
        val group = VirtualGroup(this, instances = 3).apply { start() }
        val first = group.write(group.runtimes[0], "r1", "append k a").getOrNull()!!
        val old = group.indexOf(first.server)
        group.cut(old)
        group.write(group.runtimes[(old + 1) % 3], "r2", "append k b", ms = 15_000)
            .getOrNull()!!.server shouldNotBe first.server
        group.cut(old, isCut = false)
        delay(2_000.milliseconds)
        group.nodes.count { it.status().isPrimary } shouldBe 1
        group.nodes.map { it.status().end }.toSet().size shouldBe 1
    }

    /** Cuts one instance off from the primary only; returns whether the primary is replaced. */
    private suspend fun TestScope.isReplacedAfterPartialCut(witness: InstanceId?): Boolean {
        val group = VirtualGroup(this, instances = 1).apply { start() }
        val first = group.write(group.runtimes[0], "r1", "append k a").getOrNull()!!
        group.clusterView.witness = witness
        val zone = group.zones[0].value
        group.nodes[group.indexOf(first.server)].inject(DatabaseFaults(cutZones = setOf(zone)))
        delay(5_000.milliseconds)
        return group.nodes.any { it.status().fence > first.point.term }
    }

    /** Sends a write to the primary while it is cut off and replaced. */
    private suspend fun TestScope.writeDuringReplacement(
        acknowledge: Acknowledge
    ): ReplacementOutcome {
        val group = VirtualGroup(this, instances = 3, acknowledge = acknowledge).apply { start() }
        val first = group.write(group.runtimes[0], "r1", "append k a").getOrNull()!!
        val old = group.indexOf(first.server)
        group.cut(old)
        val late = async { group.write(group.runtimes[old], "r2", "append k late", ms = 15_000) }
        delay(4_000.milliseconds)
        group.cut(old, isCut = false)
        val answer = late.await()
        val last = group.write(group.runtimes[0], "r3", "append k z", ms = 15_000).getOrNull()!!
        val rows = group.read(group.runtimes[0], "get k", last.point).getOrNull()!!.values()
        return ReplacementOutcome(rows, answer)
    }

    private fun org.yuccawind.core.read.ReadResult.values() = rows.flatMap { it.split(',') }

    private data class ReplacementOutcome(
        val rows: List<String>,
        val answer: arrow.core.Either<
            org.yuccawind.core.result.Refusal,
            org.yuccawind.core.write.WriteResult
            >
    )
}
