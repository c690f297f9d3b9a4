package org.yuccawind.core.membership

import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource
import org.junit.jupiter.api.Test
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.core.peer.ServiceEvidence
import org.yuccawind.core.port.InstanceEntry

class MembershipTest {
    private val time = TestTimeSource()
    private val zone = AvailabilityZone("a")
    private val self = InstanceId("proxy-1")
    private val peer = InstanceId("proxy-2")
    private val service = ServiceName("pairing")
    private val membership = Membership(self, time, zone)

    @Test
    fun `a peer is live while its heartbeats arrive, listed or not`() {
        membership.recordHeartbeat(heartbeat())
        membership.live() shouldBe listOf(peer, self)
        time += 3_000.milliseconds
        membership.live() shouldBe listOf(self)
    }

    @Test
    fun `a peer whose heartbeat announces its shutdown is no member`() {
        membership.recordHeartbeat(heartbeat(leaving = true))
        membership.live() shouldBe listOf(self)
    }

    @Test
    fun `the leaving time of a server counts from the first list that shows it as leaving`() {
        val server = BackendServerName("db-1")
        membership.leavingFor(server).shouldBeNull()
        membership.updateList(listOf(entry(leaving = true)))
        time += 300.milliseconds
        membership.leavingFor(server) shouldBe 0.milliseconds
        membership.confirmList()
        membership.leavingFor(server) shouldBe 300.milliseconds
    }

    @Test
    fun `the leaving time starts over after a list without the server`() {
        val server = BackendServerName("db-1")
        membership.updateList(listOf(entry(leaving = true)))
        time += 300.milliseconds
        membership.updateList(emptyList())
        membership.leavingFor(server).shouldBeNull()
        membership.updateList(listOf(entry(leaving = true)))
        membership.leavingFor(server) shouldBe 0.milliseconds
    }

    @Test
    fun `the age of a peer's certificate grows with the time since its heartbeat`() {
        membership.recordHeartbeat(heartbeat(ageMs = 100))
        membership.peerWithCertificate(service, 400.milliseconds) shouldBe peer
        time += 300.milliseconds
        membership.peerWithCertificate(service, 400.milliseconds).shouldBeNull()
    }

    private fun heartbeat(leaving: Boolean = false, ageMs: Long = 0) = PeerMessage.Heartbeat(
        peer,
        AvailabilityZone("b"),
        leaving,
        listOf(ServiceEvidence(service, 1, ageMs))
    )

    private fun entry(leaving: Boolean) = InstanceEntry("db-1", zone, "", leaving)
}
