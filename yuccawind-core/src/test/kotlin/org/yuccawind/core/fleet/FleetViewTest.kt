package org.yuccawind.core.fleet

import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.junit.jupiter.api.Test
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.port.InstanceEntry

class FleetViewTest {
    private val service = ServiceName("pairing")

    @Test
    fun `each of five zones has three or four homes`() = runTest {
        val homes = view(fleet(95)).homesOf(service, maxConnections = 35)
        homes shouldHaveSize 16
        homes.groupingBy { it.zone }.eachCount().values.forEach { it shouldBeIn listOf(3, 4) }
    }

    @Test
    fun `homes of many services are spread over the instances`() = runTest {
        val view = view(fleet(95))
        val assignments = (1..14).flatMap { view.homesOf(ServiceName("s$it"), maxConnections = 35) }
        assignments.groupingBy { it.name }.eachCount().values.max() shouldBeLessThanOrEqual 8
    }

    @Test
    fun `the loss of an instance moves only its own assignments`() = runTest {
        val before = view(fleet(95)).homesOf(service, maxConnections = 35)
        val removed = before.first()
        val after = view(fleet(95) - removed).homesOf(service, maxConnections = 35)
        (before - after.toSet()).size shouldBeLessThanOrEqual 2
    }

    @Test
    fun `an instance stays live for five seconds after the store has lost its entry`() = runTest {
        val view = view(fleet(5))
        repeat(5) {
            view.onList(emptyList())
            view.size shouldBe 5
            delay(1.seconds)
        }
        delay(100.milliseconds)
        view.onList(emptyList())
        view.size shouldBe 1
    }

    @Test
    fun `instances whose entries expired in an outage of the platform remain live`() = runTest {
        val view = view(fleet(5))
        delay(8.seconds)
        // The first list after the outage holds only the instances that have renewed their entries.
        repeat(3) {
            view.onList(fleet(1))
            view.size shouldBe 5
            delay(1.seconds)
        }
        delay(1.seconds)
        repeat(3) {
            delay(1.seconds)
            view.onList(fleet(1))
        }
        view.size shouldBe 1
    }

    @Test
    fun `an instance that restarts at another address counts once`() = runTest {
        val view = view(fleet(3))
        view.onList(fleet(3).map { it.copy(peerAddress = "10.0.9.9:7440") })
        view.size shouldBe 3
    }

    @Test
    fun `no instance is a home before the settling time has passed`() = runTest {
        val view = FleetView(fleet(1).single(), testTimeSource)
        view.onList(fleet(3))
        view.isHome(service, maxConnections = 16) shouldBe false
        delay(1.seconds)
        view.isHome(service, maxConnections = 16) shouldBe true
    }

    private fun fleet(size: Int) = List(size) {
        InstanceEntry("i$it", AvailabilityZone("z${it % 5}"), peerAddress = "10.0.0.$it:7440")
    }

    private fun TestScope.view(fleet: List<InstanceEntry>) =
        FleetView(fleet.first(), testTimeSource).also { it.onList(fleet) }
}
