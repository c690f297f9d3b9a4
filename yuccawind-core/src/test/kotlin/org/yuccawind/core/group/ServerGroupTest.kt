package org.yuccawind.core.group

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.junit.jupiter.api.Test
import org.yuccawind.core.fleet.FleetView
import org.yuccawind.core.fleet.HomeProofClient
import org.yuccawind.core.link.LinkCommand
import org.yuccawind.core.link.LinkLost
import org.yuccawind.core.link.LinkReply
import org.yuccawind.core.link.ServerLink
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServerRole
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.core.port.DecisionLog
import org.yuccawind.core.port.InstanceEntry
import org.yuccawind.core.port.PeerClient
import org.yuccawind.core.port.PeerError
import org.yuccawind.core.route.GroupSettings
import org.yuccawind.core.statement.SessionState
import org.yuccawind.core.statement.StatementResult
import org.yuccawind.core.time.SuspensionDetector

class ServerGroupTest {
    private var received = LogPoint(1, 9)
    private var applied = LogPoint(1, 5)
    private var suspendedMs = 0L
    private var isReachable = true

    @Test
    fun `a primary gives no certificate before it has applied its received log`() = runTest {
        val group = group()
        delay(500.milliseconds)
        group.leader.shouldNotBeNull()
        group.pointSince(testTimeSource.markNow(), timeout = 300.milliseconds).shouldBeNull()
        applied = received
        group.pointSince(testTimeSource.markNow(), timeout = 300.milliseconds) shouldBe received
    }

    @Test
    fun `a primary that is still applying its received log does not count as silent`() = runTest {
        val group = group()
        delay(3_000.milliseconds)
        group.isSilent shouldBe false
        group.awaitLeader(timeout = 100.milliseconds).shouldNotBeNull()
    }

    @Test
    fun `evidence from before a suspension of the machine is not used`() = runTest {
        applied = received
        val group = group()
        delay(1_500.milliseconds)
        val latest = LogPoint(1, 20)
        applied = latest
        suspendedMs += 4_000
        val bound = testTimeSource.markNow() - 1_000.milliseconds
        group.pointSince(bound, timeout = 300.milliseconds) shouldBe latest
    }

    @Test
    fun `the floor is requested again after leadership may have moved away and back`() = runTest {
        applied = received
        val group = group()
        delay(500.milliseconds)
        isReachable = false
        delay(3_000.milliseconds)
        // It is primary again after two changes, with received entries not yet applied.
        received = LogPoint(2, 20)
        isReachable = true
        delay(500.milliseconds)
        group.isSilent shouldBe false
        group.pointSince(testTimeSource.markNow(), timeout = 500.milliseconds).shouldBeNull()
        applied = received
        group.pointSince(testTimeSource.markNow(), timeout = 500.milliseconds) shouldBe
            received
    }

    @Test
    fun `a group is silent on a non-home instance only after a failed request`() = runTest {
        val group = group(others = 60)
        group.isHome shouldBe false
        isReachable = false
        delay(5.seconds)
        group.isMonitored shouldBe false
        group.isSilent shouldBe false
        group.pointSince(testTimeSource.markNow(), timeout = 300.milliseconds).shouldBeNull()
        group.isMonitored shouldBe true
        delay(1_500.milliseconds)
        group.isSilent shouldBe true
        isReachable = true
        delay(500.milliseconds)
        group.isSilent shouldBe false
    }

    @Test
    fun `a group is not silent on an instance that has just become its home`() = runTest {
        applied = received
        val group = group(settlingTime = 1.seconds)
        delay(999.milliseconds)
        group.isHome shouldBe false
        delay(1.milliseconds)
        group.isHome shouldBe true
        group.isSilent shouldBe false
        group.awaitLeader(timeout = 100.milliseconds).shouldNotBeNull()
    }

    /** A group of one server. This instance is its home unless there are many [others]. */
    private fun TestScope.group(
        others: Int = 0,
        settlingTime: Duration = Duration.ZERO
    ): ServerGroup {
        val entries = List(others) { InstanceEntry("o$it", AvailabilityZone("other")) }
        val fleet = FleetView(
            InstanceEntry("i", AvailabilityZone("z")),
            testTimeSource,
            settlingTime
        )
        fleet.onList(entries + List(others) { InstanceEntry("p$it", fleet.zone) } + fleet.self)
        val context = GroupContext(
            backgroundScope,
            testTimeSource,
            { _, _, _ -> Link().right() },
            DecisionLog.NONE,
            SuspensionDetector(testTimeSource) { currentTime + suspendedMs },
            fleet,
            HomeProofClient(fleet, NoPeers, testTimeSource, DecisionLog.NONE)
        )
        val group = ServerGroup(ServiceName("s"), GroupSettings(16, syncReplicas = 0), context)
        group.update(listOf(member()))
        backgroundScope.launch { group.run() }
        return group
    }

    private fun member() = GroupMember(
        name = BackendServerName("a"),
        address = "127.0.0.1:1",
        zone = AvailabilityZone("z"),
        role = ServerRole.PRIMARY,
        slots = 2,
        isLeaving = false,
        startedAtMs = 0
    )

    private object NoPeers : PeerClient {
        override suspend fun call(address: String, message: PeerMessage) =
            PeerError("no peers").left()
    }

    /** Link to a primary that has received more than it has applied and answers within 1 ms. */
    private inner class Link : ServerLink {
        override val isOpen = true
        override val initialPosition get() = applied

        override suspend fun exchange(
            commands: List<LinkCommand>
        ): Either<LinkLost, List<LinkReply>> {
            delay(1.milliseconds)
            if (!isReachable) return LinkLost("cut", wasSent = true).left()
            return commands.map(::answer).right()
        }

        override fun close() = Unit

        private fun answer(command: LinkCommand): LinkReply {
            val isBegin = command is LinkCommand.Begin
            val state = if (isBegin) SessionState.IN_TRANSACTION else SessionState.IDLE
            val report =
                ServerReport(ServerRole.PRIMARY, received.term, received, pausedBelowTerm = 0)
            return LinkReply(emptyList(), StatementResult.Done(null), state, applied, report)
        }
    }
}
