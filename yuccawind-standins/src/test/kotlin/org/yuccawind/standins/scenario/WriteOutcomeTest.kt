package org.yuccawind.standins.scenario

import arrow.core.left
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.junit.jupiter.api.Test
import org.yuccawind.core.model.RequestId
import org.yuccawind.core.port.BackendError
import org.yuccawind.core.port.Command
import org.yuccawind.core.result.Outcome
import org.yuccawind.core.result.ResultCode
import org.yuccawind.core.write.WriteRequest
import org.yuccawind.standins.database.DatabaseFaults

private val LOST = BackendError.Lost("reply lost")

/** A request refused as not run must not run later, even if an earlier attempt was delayed. */
@OptIn(ExperimentalCoroutinesApi::class)
class WriteOutcomeTest {
    @Test
    fun `a statement failure after a lost attempt is cancelled before it is called not run`() =
        delayedFirstAttempt(BackendError.Failed("constraint"))

    @Test
    fun `a refused connection after a lost attempt is cancelled before it is called not run`() =
        delayedFirstAttempt(BackendError.NoConnection("limit"))

    @Test
    fun `a primary change after a lost attempt is cancelled before it is called not run`() =
        delayedFirstAttempt(BackendError.NotPrimary("replaced"))

    @Test
    fun `a lost reply is resolved to the stored result`() = runTest {
        val group = VirtualGroup(this).apply { start() }
        var lost = 0
        group.transport = CommandTransport { _, command, send ->
            val reply = send()
            if (command is Command.Apply && lost++ == 0) LOST.left() else reply
        }
        val written = group.write(group.runtimes[0], "r1", "append k a").getOrNull()!!
        written.code shouldBe ResultCode.ALREADY_RAN
        written.rows shouldBe listOf("a")
        rows(group) shouldBe listOf("a")
    }

    @Test
    fun `an unresponsive primary leaves time to resolve the outcome`() = runTest {
        val group = VirtualGroup(this).apply { start() }
        group.transport = CommandTransport { _, command, send ->
            if (command is Command.Apply) delay(60_000.milliseconds)
            send()
        }
        val code = group.write(group.runtimes[0], "r1", "append k a").leftOrNull()?.code
        code shouldBe ResultCode.CANCELLED
    }

    @Test
    fun `a retry without a primary is not reported as not run`() = runTest {
        val group = VirtualGroup(this).apply { start() }
        group.nodes.forEach { it.inject(DatabaseFaults(frozen = true)) }
        val deadline = testTimeSource.markNow() + 2_000.milliseconds
        val request =
            WriteRequest(RequestId("r1"), listOf("append k a"), false, deadline, isRetry = true)
        val code = group.runtimes[0].writes.write(request).leftOrNull()?.code
        code shouldBe ResultCode.OUTCOME_UNKNOWN
    }

    /** The first attempt is delivered after all later ones failed with [error]. */
    private fun delayedFirstAttempt(error: BackendError) = runTest {
        val group = VirtualGroup(this).apply { start() }
        var attempts = 0
        group.transport = CommandTransport { server, command, send ->
            if (command !is Command.Apply) return@CommandTransport send()
            if (attempts++ > 0) return@CommandTransport error.left()
            launch {
                delay(8_000.milliseconds)
                group.deliver(server, command)
            }
            LOST.left()
        }
        val refusal = group.write(group.runtimes[0], "r1", "append k a").leftOrNull()!!
        refusal.code.outcome shouldBe Outcome.NOT_RUN
        refusal.code shouldBe ResultCode.CANCELLED
        delay(10_000.milliseconds)
        rows(group) shouldBe emptyList()
    }

    private suspend fun rows(group: VirtualGroup) =
        group.read(group.runtimes[1], "get k", kind = "current").getOrNull()!!.rows
}
