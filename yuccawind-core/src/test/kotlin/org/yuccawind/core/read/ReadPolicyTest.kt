package org.yuccawind.core.read

import io.kotest.common.ExperimentalKotest
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.orNull
import io.kotest.property.checkAll
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServerRole

class ReadPolicyTest {
    private val primary = candidate("db-1", ServerRole.PRIMARY, 0.milliseconds)
    private val policy = ReadPolicy.Predicted()
    private val replicas = Arb.bind(
        Arb.int(0..60).orNull(),
        Arb.int(0..12),
        Arb.int(0..40)
    ) { catchUp, trip, queue ->
        candidate(
            "db-2",
            ServerRole.REPLICA,
            catchUp?.milliseconds,
            trip.milliseconds,
            queue.milliseconds
        )
    }

    @OptIn(ExperimentalKotest::class)
    @Test
    fun `a read waits at most maxCatchUpWait and loses at most maxExtraLatency`() = runTest {
        checkAll(PropTestConfig(seed = 4103), replicas) { replica ->
            val choice = policy.choose(listOf(primary, replica), 0)
            val expected =
                (replica.catchUp ?: Duration.ZERO) + replica.roundTrip + replica.queueWait
            val isAcceptable = expected <= primary.roundTrip + policy.maxExtraLatency &&
                (replica.catchUp ?: Duration.ZERO) <= policy.maxCatchUpWait
            serverOf(choice) shouldBe if (isAcceptable) replica.server else primary.server
            if (choice is ReadChoice.SendAfterWait) choice.wait shouldBe replica.catchUp
        }
    }

    @Test
    fun `the replica that is expected to answer first is chosen`() {
        val near = candidate("db-2", ServerRole.REPLICA, 9.milliseconds, 1.milliseconds)
        val far = candidate("db-3", ServerRole.REPLICA, 0.milliseconds, 6.milliseconds)
        serverOf(policy.choose(listOf(primary, near, far), 0)) shouldBe far.server
    }

    @Test
    fun `equivalent replicas are chosen round-robin`() {
        val pair = listOf("db-2", "db-3").map { candidate(it, ServerRole.REPLICA, Duration.ZERO) }
        val chosen = (0..3).map { serverOf(policy.choose(pair + primary, it))?.value }
        chosen shouldBe listOf("db-2", "db-3", "db-2", "db-3")
    }

    @Test
    fun `the baseline policies choose the primary or a replica that is caught up`() {
        val behind = candidate("db-2", ServerRole.REPLICA, 5.milliseconds)
        val caughtUp = candidate("db-3", ServerRole.REPLICA, Duration.ZERO)
        val all = listOf(primary, behind, caughtUp)
        serverOf(ReadPolicy.PrimaryOnly.choose(all, 0)) shouldBe primary.server
        serverOf(ReadPolicy.ReplicaWithoutWait.choose(all, 0)) shouldBe caughtUp.server
        serverOf(ReadPolicy.ReplicaWithoutWait.choose(listOf(primary, behind), 0)) shouldBe
            primary.server
    }

    private fun serverOf(choice: ReadChoice) = when (choice) {
        is ReadChoice.Send -> choice.candidate.server
        is ReadChoice.SendAfterWait -> choice.candidate.server
        ReadChoice.None -> null
    }

    private fun candidate(
        name: String,
        role: ServerRole,
        catchUp: Duration?,
        trip: Duration = 6.milliseconds,
        queue: Duration = Duration.ZERO
    ) = ReadCandidate(BackendServerName(name), role, catchUp, trip, queue)
}
