package org.yuccawind.standins.scenario

import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.yuccawind.core.result.ResultCode
import org.yuccawind.standins.database.DatabaseFaults

class FailoverScenarioTest {
    @Test
    fun `a session reads its own write on another instance`() = runTest {
        val group = VirtualGroup(this).apply { start() }
        val written = group.write(group.runtimes[0], "r1", "put k v1").getOrNull()!!
        val read = group.read(group.runtimes[1], "get k", written.point).getOrNull()!!
        read.rows shouldBe listOf("v1")
    }

    @Test
    fun `a frozen primary is replaced and no acknowledged write is lost`() = runTest {
        val group = VirtualGroup(this).apply { start() }
        val first = group.write(group.runtimes[0], "r1", "append k a").getOrNull()!!
        val old = group.indexOf(first.server)
        group.nodes[old].inject(DatabaseFaults(frozen = true))
        val second = group.write(group.runtimes[0], "r2", "append k b", ms = 15_000).getOrNull()!!
        second.server shouldNotBe first.server
        second.point shouldBeGreaterThan first.point
        group.nodes[old].inject(DatabaseFaults())
        val read = group.read(group.runtimes[1], "get k", second.point).getOrNull()!!
        read.rows shouldBe listOf("a,b")
    }

    @Test
    fun `the same request id runs once`() = runTest {
        val group = VirtualGroup(this).apply { start() }
        group.write(group.runtimes[0], "r1", "append k a").getOrNull()!!
        val again = group.write(group.runtimes[1], "r1", "append k a").getOrNull()!!
        again.code shouldBe ResultCode.ALREADY_RAN
        group.read(group.runtimes[0], "get k", again.point).getOrNull()!!.rows shouldBe listOf("a")
    }

    @Test
    fun `a read of age zero is refused when no majority answers`() = runTest {
        val group = VirtualGroup(this).apply { start() }
        group.write(group.runtimes[0], "r1", "put k v").getOrNull()!!
        group.nodes.drop(1).forEach { it.inject(DatabaseFaults(frozen = true)) }
        group.nodes[0].inject(DatabaseFaults(frozen = true))
        val read = group.read(group.runtimes[0], "get k", kind = "current")
        read.leftOrNull()?.code shouldBe ResultCode.STALE
    }
}
