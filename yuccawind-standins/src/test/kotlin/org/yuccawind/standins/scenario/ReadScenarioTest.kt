package org.yuccawind.standins.scenario

import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.yuccawind.core.model.ServerRole
import org.yuccawind.core.read.ReadPolicy
import org.yuccawind.standins.database.DatabaseFaults
import org.yuccawind.standins.database.DatabaseSettings

private const val MIN_REPLICA_SHARE = 0.9
private const val SEED = 4104

class ReadScenarioTest {
    @Test
    fun `at a lag of 100 ms replicas serve nine of ten reads and none is stale`() = runTest {
        val sessions = run(lagMs = 100, ReadPolicy.Predicted())
        sessions.stale shouldBe 0
        sessions.replicaShare shouldBeGreaterThanOrEqual MIN_REPLICA_SHARE
    }

    @Test
    fun `no lag makes a read stale`() = runTest {
        for (lag in listOf(20L, 500L, 2_000L)) run(lag, ReadPolicy.Predicted()).stale shouldBe 0
    }

    @Test
    fun `primary-only reads stay below the replica share`() = runTest {
        run(lagMs = 100, ReadPolicy.PrimaryOnly).replicaShare shouldBeLessThan MIN_REPLICA_SHARE
    }

    @Test
    fun `a read of age zero goes to the primary when the replicas lag`() = runTest {
        val group = VirtualGroup(this, DatabaseSettings(lag = 20.milliseconds)).apply { start() }
        group.write(group.runtimes[0], "r1", "put k 1").getOrNull()!!
        group.nodes.forEach { it.inject(DatabaseFaults(lagMs = 4_000)) }
        val writing = async { group.write(group.runtimes[0], "r2", "put k 2", ms = 8_000) }
        delay(100.milliseconds)
        val read = group.read(group.runtimes[1], "get k", kind = "current").getOrNull()!!
        read.role shouldBe ServerRole.PRIMARY
        writing.await().isRight() shouldBe true
    }

    @Test
    fun `unresponsive connections are replaced and reads succeed meanwhile`() = runTest {
        val group = VirtualGroup(this).apply { start() }
        group.write(group.runtimes[0], "r1", "put k 1").getOrNull()!!
        delay(1.seconds)
        val first = group.read(group.runtimes[0], "get k").getOrNull()!!
        first.role shouldBe ServerRole.REPLICA
        val server = group.nodes[group.indexOf(first.server)]
        val before = server.status().openConnections
        server.inject(DatabaseFaults(silence = 1))
        repeat(4) { group.read(group.runtimes[0], "get k").isRight() shouldBe true }
        delay(5.seconds)
        val after = server.status().openConnections
        (after <= before) shouldBe true
        group.read(group.runtimes[0], "get k").isRight() shouldBe true
    }

    private suspend fun TestScope.run(lagMs: Long, policy: ReadPolicy): SessionSchedule {
        val settings = DatabaseSettings(lag = lagMs.milliseconds)
        val group = VirtualGroup(this, settings, instances = 4, readPolicy = policy)
        group.start()
        return SessionSchedule(group, SEED).apply { run() }
    }
}
