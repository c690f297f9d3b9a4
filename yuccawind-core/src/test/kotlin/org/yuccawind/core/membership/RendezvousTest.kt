package org.yuccawind.core.membership

import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.InstanceId

class RendezvousTest {
    private val members = List(8) {
        Member(InstanceId("proxy-$it"), AvailabilityZone("zone-${it % 3}"))
    }

    @Test
    fun `the first ranks are in different zones`() = runTest {
        checkAll(100, Arb.int()) { key ->
            val order = Rendezvous.zoneBalancedOrder("service-$key", members)
            val zones = order.take(3).map { name -> members.first { it.instance == name }.zone }
            zones.toSet().size shouldBe 3
        }
    }

    @Test
    fun `every member has a rank regardless of the order of the list`() {
        val order = Rendezvous.zoneBalancedOrder("pairing", members)
        order shouldContainExactlyInAnyOrder members.map { it.instance }
        Rendezvous.zoneBalancedOrder("pairing", members.reversed()) shouldBe order
    }

    @Test
    fun `first ranks of many services cover all members`() {
        val firsts = List(200) { Rendezvous.zoneBalancedOrder("service-$it", members).first() }
        firsts.toSet().size shouldBe members.size
    }
}
