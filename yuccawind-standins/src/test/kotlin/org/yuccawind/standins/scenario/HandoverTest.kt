package org.yuccawind.standins.scenario

import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.junit.jupiter.api.Test
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.result.ResultCode
import org.yuccawind.standins.platform.PlatformFaults

private val LEAVING_LIMIT = 2_000.milliseconds
private val MAX_HANDOVER_GAP = 500.milliseconds

@OptIn(ExperimentalCoroutinesApi::class)
class HandoverTest {
    @Test
    fun `an ordered handover makes the named server the primary`() = runTest {
        val group = VirtualGroup(this, instances = 3).apply { start() }
        val first = group.write(group.runtimes[0], "r1", "append k a").getOrNull()!!
        val target = group.names.last { it != first.server }
        group.runtimes[1].handover(target).getOrNull()?.primary shouldBe target
        val second = group.write(group.runtimes[0], "r2", "append k b").getOrNull()!!
        second.server shouldBe target
        val read = group.read(group.runtimes[2], "get k", second.point).getOrNull()!!
        read.rows shouldBe listOf("a,b")
    }

    @Test
    fun `a handover to an unknown server or during an outage is refused`() = runTest {
        val group = VirtualGroup(this).apply { start() }
        val first = group.write(group.runtimes[0], "r1", "append k a").getOrNull()!!
        val unknown = group.runtimes[0].handover(BackendServerName("db-9"))
        unknown.leftOrNull()?.code shouldBe ResultCode.HANDOVER_FAILED
        group.platform.inject(PlatformFaults(isOut = true))
        val other = group.names.first { it != first.server }
        val refused = group.runtimes[0].handover(other)
        refused.leftOrNull()?.code shouldBe ResultCode.HANDOVER_FAILED
        val second = group.write(group.runtimes[0], "r2", "append k b").getOrNull()!!
        second.server shouldBe first.server
    }

    @Test
    fun `two overlapping handovers to one server take one term`() {
        for (laterMs in 0..60 step 10) {
            runTest {
                val group = VirtualGroup(this, instances = 2).apply { start() }
                val first = group.write(group.runtimes[0], "r1", "append k a").getOrNull()!!
                val target = group.names.last { it != first.server }
                val one = async { group.runtimes[0].handover(target) }
                delay(laterMs.milliseconds)
                val other = async { group.runtimes[1].handover(target) }
                listOf(one, other).awaitAll()
                val second = group.write(group.runtimes[0], "r2", "append k b").getOrNull()!!
                second.point.term shouldBe first.point.term + 1
            }
        }
    }

    @Test
    fun `a leaving primary is handed over under continuous writes with a short gap`() = runTest {
        val group = VirtualGroup(this, instances = 3).apply { start() }
        val first = group.write(group.runtimes[0], "r0", "append k a").getOrNull()!!
        group.clusterView.leavingSince[first.server] = testTimeSource.markNow()
        val startedAt = testTimeSource.markNow()
        var lastAt = testTimeSource.markNow()
        var gap = Duration.ZERO
        var movedAfter: Duration? = null
        var id = 0
        while (startedAt.elapsedNow() < LEAVING_LIMIT * 2) {
            val sentAt = startedAt.elapsedNow()
            val runtime = group.runtimes[id % 3]
            val result = group.write(runtime, "r${++id}", "append k w$id").getOrNull() ?: continue
            gap = maxOf(gap, lastAt.elapsedNow())
            lastAt = testTimeSource.markNow()
            if (result.server != first.server && movedAfter == null) movedAfter = sentAt
        }
        gap shouldBeLessThanOrEqualTo MAX_HANDOVER_GAP
        movedAfter!! shouldBeLessThan LEAVING_LIMIT
    }

    @Test
    fun `a leaving replica gets no reads and causes no handover`() = runTest {
        val group = VirtualGroup(this, instances = 3).apply { start() }
        val first = group.write(group.runtimes[0], "r1", "append k a").getOrNull()!!
        val replica = group.names.first { it != first.server }
        group.clusterView.leavingSince[replica] = testTimeSource.markNow()
        repeat(20) {
            group.read(group.runtimes[it % 3], "get k", first.point)
                .getOrNull()!!.server shouldNotBe replica
        }
        delay(LEAVING_LIMIT)
        val second = group.write(group.runtimes[0], "r2", "append k b").getOrNull()!!
        second.point.term shouldBe first.point.term
    }

    @Test
    fun `a server that repeatedly leaves and returns causes no handover`() = runTest {
        val group = VirtualGroup(this, instances = 3).apply { start() }
        val first = group.write(group.runtimes[0], "r1", "append k a").getOrNull()!!
        repeat(20) {
            group.clusterView.leavingSince[first.server] = testTimeSource.markNow()
            delay(200.milliseconds)
            group.clusterView.leavingSince.clear()
            delay(200.milliseconds)
        }
        val second = group.write(group.runtimes[0], "r2", "append k b").getOrNull()!!
        second.point.term shouldBe first.point.term
    }

    @Test
    fun `a handover waits for open transactions`() = runTest {
        val group = VirtualGroup(this, instances = 3).apply { start() }
        val first = group.write(group.runtimes[0], "r1", "append k a").getOrNull()!!
        val transactions = group.runtimes[0].transactions
        val handle = transactions.begin(testTimeSource.markNow() + LEAVING_LIMIT).getOrNull()!!
        transactions.execute(handle, "append k t")
        group.clusterView.transactions = 1
        group.clusterView.leavingSince[first.server] = testTimeSource.markNow()
        val committed = async {
            delay(1_000.milliseconds)
            val deadline = testTimeSource.markNow() + LEAVING_LIMIT
            val id = org.yuccawind.core.model.RequestId("r2")
            transactions.commit(handle, id, group.runtimes[0].writes, deadline)
        }
        committed.await().getOrNull()?.code shouldBe ResultCode.OK
        group.clusterView.transactions = 0
        val last = group.write(group.runtimes[0], "r3", "append k z").getOrNull()!!
        last.server shouldNotBe first.server
    }
}
