package org.yuccawind.standins.scenario

import arrow.core.left
import arrow.core.right
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.junit.jupiter.api.Test
import org.yuccawind.core.model.RequestId
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.core.port.BackendError
import org.yuccawind.core.port.Command
import org.yuccawind.core.port.PeerClient
import org.yuccawind.core.port.PeerError
import org.yuccawind.core.result.ResultCode
import org.yuccawind.core.transaction.TransactionHandle
import org.yuccawind.core.transaction.TransactionRouter

private val LOST = BackendError.Lost("reply lost")
private val ID = RequestId("t1")

@OptIn(ExperimentalCoroutinesApi::class)
class TransactionOutcomeTest {
    @Test
    fun `a statement that waits for a commit never runs on the released connection`() = runTest {
        val group = VirtualGroup(this).apply { start() }
        val table = group.runtimes[0].transactions
        val first = table.begin(deadline()).getOrNull()!!
        group.transport = CommandTransport { _, command, send ->
            if (command is Command.Commit) delay(100.milliseconds)
            send()
        }
        val commit = async { table.commit(first, ID, group.runtimes[0].writes, deadline()) }
        delay(10.milliseconds)
        val late = async { table.execute(first, "append k late") }
        delay(10.milliseconds)
        val second = async { table.begin(deadline()).getOrNull()!! }
        commit.await()
        late.await().leftOrNull()?.code shouldBe ResultCode.NO_SUCH_TRANSACTION
        table.execute(second.await(), "append k b").getOrNull()!!.rows shouldBe listOf("b")
    }

    @Test
    fun `a retried commit after a lost reply is never reported as rolled back`() = runTest {
        val group = VirtualGroup(this).apply { start() }
        val table = group.runtimes[0].transactions
        val handle = table.begin(deadline()).getOrNull()!!
        table.execute(handle, "append k a")
        group.transport = CommandTransport { _, command, send ->
            val reply = send()
            if (command is Command.Commit || command is Command.Cancel) LOST.left() else reply
        }
        val writes = group.runtimes[0].writes
        table.commit(handle, ID, writes, deadline()).leftOrNull()?.code shouldBe
            ResultCode.OUTCOME_UNKNOWN
        group.transport = CommandTransport { _, _, send -> send() }
        table.commit(handle, ID, writes, deadline()).getOrNull()?.code shouldBe
            ResultCode.ALREADY_RAN
    }

    @Test
    fun `a failed begin releases its connection`() = runTest {
        val group = VirtualGroup(this).apply { start() }
        group.transport = CommandTransport { _, command, send ->
            if (command is Command.Begin) BackendError.NotPrimary("replaced").left() else send()
        }
        repeat(20) { group.runtimes[0].transactions.begin(deadline(300.milliseconds)) }
        group.transport = CommandTransport { _, _, send -> send() }
        group.runtimes[0].transactions.begin(deadline()).isRight() shouldBe true
    }

    @Test
    fun `an idle transaction is rolled back`() = runTest {
        val group = VirtualGroup(this).apply { start() }
        val table = group.runtimes[0].transactions
        val handle = table.begin(deadline()).getOrNull()!!
        table.execute(handle, "append k a")
        delay(20.seconds)
        table.size shouldBe 1
        delay(15.seconds)
        table.size shouldBe 0
        val commit = table.commit(handle, ID, group.runtimes[0].writes, deadline())
        commit.leftOrNull()?.code shouldBe ResultCode.NO_SUCH_TRANSACTION
    }

    @Test
    fun `a statement sent to another instance runs on the owner`() = runTest {
        val group = VirtualGroup(this).apply { start() }
        val handle = beginAndAppend(group)
        val router = router(group) { group.routers[0].handle(it) }
        router.execute(group.runtimes[1], handle, "append k b", deadline()).getOrNull() shouldBe
            listOf("a,b")
        val done = router.commit(group.runtimes[1], handle, ID, deadline()).getOrNull()
        done?.code shouldBe ResultCode.OK
        rows(group) shouldBe listOf("a,b")
    }

    @Test
    fun `a forwarded commit whose reply is lost is reported as committed`() = runTest {
        val group = VirtualGroup(this).apply { start() }
        val handle = beginAndAppend(group)
        val router = router(group) { call ->
            group.routers[0].handle(call)
            null
        }
        val done = router.commit(group.runtimes[1], handle, ID, deadline()).getOrNull()
        done?.code shouldBe ResultCode.ALREADY_RAN
    }

    @Test
    fun `a forwarded commit that arrives after it was reported as lost does not run`() = runTest {
        val group = VirtualGroup(this).apply { start() }
        val handle = beginAndAppend(group)
        val router = router(group) { call ->
            launch {
                delay(10.seconds)
                group.routers[0].handle(call)
            }
            null
        }
        val refused = router.commit(group.runtimes[1], handle, ID, deadline()).leftOrNull()
        refused?.code shouldBe ResultCode.TRANSACTION_LOST
        delay(20.seconds)
        rows(group) shouldBe emptyList()
    }

    @Test
    fun `a transaction of an unreachable or restarted owner is reported as lost`() = runTest {
        val group = VirtualGroup(this).apply { start() }
        val handle = beginAndAppend(group)
        val router = router(group) { null }
        router.execute(group.runtimes[1], handle, "append k b", deadline())
            .leftOrNull()?.code shouldBe ResultCode.TRANSACTION_LOST
        val restarted = TransactionHandle(handle.owner, "earlier.1")
        val unknown = group.runtimes[0].transactions.execute(restarted, "append k b")
        unknown.leftOrNull()?.code shouldBe ResultCode.TRANSACTION_LOST
    }

    private suspend fun TestScope.beginAndAppend(group: VirtualGroup): TransactionHandle {
        val handle = group.runtimes[0].transactions.begin(deadline()).getOrNull()!!
        group.runtimes[0].transactions.execute(handle, "append k a")
        return handle
    }

    /** Router of the second instance; [transmit] returns the owner's reply, or null to lose it. */
    private fun router(
        group: VirtualGroup,
        transmit: suspend (PeerMessage.TransactionCall) -> PeerMessage?
    ): TransactionRouter = group.router(
        1,
        object : PeerClient {
            override suspend fun call(address: String, message: PeerMessage) =
                transmit(message as PeerMessage.TransactionCall)
                    ?.right() ?: PeerError("no reply").left()
        }
    )

    private fun TestScope.deadline(length: Duration = 5.seconds) = testTimeSource.markNow() + length

    private suspend fun rows(group: VirtualGroup) =
        group.read(group.runtimes[1], "get k", kind = "current").getOrNull()!!.rows
}
