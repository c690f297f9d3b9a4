package org.yuccawind.standins.config

import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.junit.jupiter.api.Test
import org.yuccawind.core.config.BackendServerConfig
import org.yuccawind.core.config.ConfigChange
import org.yuccawind.core.config.ServiceConfig
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.result.ResultCode
import org.yuccawind.standins.platform.PlatformFaults

private const val MEASURED_SECONDS = 60

/**
 * A watch of ten seconds confirms the records as of its start, so their age reaches 20 s before the
 * next watch ends.
 */
private val MAX_AGE = 22.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class ConfigSpreadTest {
    private val service = ServiceName("pairing")

    @Test
    fun `an accepted change whose reply was lost is not reported as a conflict`() = runTest {
        val fleet = VirtualFleet(this, 3, 1).apply { start() }
        fleet.platform.inject(PlatformFaults(loseReplies = 1))
        fleet.apply("n1", 0).getOrNull()?.revision shouldBe 1
        fleet.apply("n1", 0).getOrNull()?.revision shouldBe 1
        fleet.apply("n2", 0).leftOrNull()?.code shouldBe ResultCode.CONFIG_CONFLICT
    }

    @Test
    fun `a change during an outage is not written and reported as unavailable`() = runTest {
        val fleet = VirtualFleet(this, 3, 2).apply { start() }
        fleet.platform.inject(PlatformFaults(isOut = true))
        fleet.apply("n1", 0).leftOrNull()?.code shouldBe ResultCode.PLATFORM_UNAVAILABLE
        fleet.platform.get("services/pairing") shouldBe null
    }

    @Test
    fun `two servers of a group cannot be added in one change`() = runTest {
        val fleet = VirtualFleet(this, 3, 3).apply { start() }
        fleet.apply("n1", 0, servers = 3)
        fleet.apply("n2", 1, servers = 5).leftOrNull()?.code shouldBe ResultCode.CONFIG_GROUP_CHANGE
        fleet.apply("n3", 1, servers = 4).getOrNull()?.revision shouldBe 2
    }

    @Test
    fun `a deleted service stays deleted when an instance restarts during an outage`() = runTest {
        val fleet = VirtualFleet(this, 6, 4).apply { start() }
        fleet.apply("n1", 0)
        fleet.apply("n2", 1, servers = 0)
        delay(2.seconds)
        fleet.platform.inject(PlatformFaults(isOut = true))
        fleet.instances[0].stop()
        fleet.instances[0].start()
        fleet.instances[0].isReady shouldBe false
        delay(3.seconds)
        fleet.instances[0].isReady shouldBe true
        fleet.instances[0].record(service)?.revision shouldBe 2
        fleet.instances[0].record(service)?.config shouldBe null
    }

    @Test
    fun `a zone cut off from the platform receives records from peers`() = runTest {
        val fleet = VirtualFleet(this, 6, 5).apply { start() }
        delay(1.seconds)
        fleet.platform.inject(PlatformFaults(cutZones = setOf("b")))
        fleet.apply("n1", 0)
        delay(2.seconds)
        fleet.instances.map { it.revision(service) }.distinct() shouldBe listOf(1L)
    }

    @Test
    fun `a fully cut off zone keeps its records and their age grows`() = runTest {
        val fleet = VirtualFleet(this, 6, 6).apply { start() }
        fleet.apply("n1", 0)
        delay(2.seconds)
        fleet.platform.inject(PlatformFaults(cutZones = setOf("b")))
        fleet.network.cutZones = setOf("b")
        delay(12.seconds) // until the watches that started before the cut have ended
        fleet.apply("n2", 1)
        delay(60.seconds)
        val cut = fleet.instances[1]
        cut.revision(service) shouldBe 1
        cut.age.now()!! shouldBeGreaterThan 45.seconds
        fleet.instances[0].age.now()!! shouldBeLessThan MAX_AGE
        fleet.platform.inject(PlatformFaults())
        fleet.network.cutZones = emptySet()
        delay(5.seconds)
        cut.revision(service) shouldBe 2
    }

    @Test
    fun `platform calls for configuration do not grow with the fleet`() {
        val few = listOf(8, 50, 200).map { callsPerSecond(it, watchersPerZone = 2) }
        val all = listOf(8, 50, 200).map { callsPerSecond(it, watchersPerZone = Int.MAX_VALUE) }
        println("platform_calls_per_second instances=8,50,200 watchers=$few every_instance=$all")
        few[2] shouldBeLessThan few[0] * 2
        all[2] shouldBeGreaterThan few[2] * 5
    }

    @Test
    fun `a change is in force on two hundred instances within two seconds`() = runTest {
        val fleet = VirtualFleet(this, 200, 7).apply { start() }
        delay(3.seconds)
        fleet.apply("n1", 0)
        val startedAt = testTimeSource.markNow()
        while (fleet.instances.any { it.revision(service) < 1 }) delay(10.milliseconds)
        println("in_force_everywhere_ms=${startedAt.elapsedNow().inWholeMilliseconds}")
        startedAt.elapsedNow() shouldBeLessThan 2.seconds
    }

    /** Platform calls per second over one minute with a change every ten seconds, after startup. */
    private fun callsPerSecond(instances: Int, watchersPerZone: Int): Double {
        var calls = 0L
        runTest(timeout = 2.minutes) {
            val fleet = VirtualFleet(this, instances, 8, watchersPerZone).apply { start() }
            delay(3.seconds)
            val before = fleet.calls()
            repeat(6) {
                fleet.apply("n$it", it.toLong())
                delay(10.seconds)
            }
            calls = fleet.calls() - before
        }
        return calls.toDouble() / MEASURED_SECONDS
    }

    private fun VirtualFleet.calls() = platform.counts.run {
        reads.sum() + writes.sum() + watches.sum()
    }

    private suspend fun VirtualFleet.apply(nonce: String, base: Long, servers: Int = 3) =
        instances[0].store.apply(
            ConfigChange(service, base, config(servers), "op", nonce, 0),
            now() + 4.seconds
        )

    private fun config(servers: Int) = if (servers == 0) {
        null
    } else {
        ServiceConfig(
            service,
            List(servers) {
                BackendServerConfig(
                    BackendServerName("db-$it"),
                    AvailabilityZone("a"),
                    "127.0.0.1:${7_000 + it}"
                )
            }
        )
    }
}
