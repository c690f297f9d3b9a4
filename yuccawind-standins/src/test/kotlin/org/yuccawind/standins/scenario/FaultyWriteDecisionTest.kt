package org.yuccawind.standins.scenario

import arrow.core.Either
import arrow.core.left
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.yuccawind.core.config.Acknowledge
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.port.BackendError
import org.yuccawind.core.port.Command
import org.yuccawind.core.result.Outcome
import org.yuccawind.core.result.ResultCode
import org.yuccawind.standins.database.DatabaseFaults

private const val TAIL_ENTRIES = 30
private val RECOVERY_TIME = 20.seconds

/** Each scenario fails with a faulty decision and passes with the real one. */
class FaultyWriteDecisionTest {
    @Test
    fun `acknowledging at the primary loses a write to a cut-off primary`() = runTest {
        val (code, rows) = writeAtCutOffPrimary(Acknowledge.PRIMARY)
        code shouldBe ResultCode.OK
        rows shouldNotContain "cut"
    }

    @Test
    fun `acknowledging by majority never reports such a write as done`() = runTest {
        val (code, _) = writeAtCutOffPrimary(Acknowledge.MAJORITY)
        code.outcome shouldBe Outcome.UNKNOWN
    }

    @Test
    fun `a lookup without cancellation lets a refused request run`() = runTest {
        val withoutCancelling = DecisionFault(command = { command ->
            if (command is Command.Cancel) {
                Command.Find(command.term, command.requestId)
            } else {
                command
            }
        })
        val (code, rows) = writeThatArrivesLate(withoutCancelling)
        code.outcome shouldBe Outcome.NOT_RUN
        rows shouldContain "late"
    }

    @Test
    fun `a cancelled request never runs`() = runTest {
        val (code, rows) = writeThatArrivesLate(DecisionFault())
        code.outcome shouldBe Outcome.NOT_RUN
        rows shouldNotContain "late"
    }

    @Test
    fun `comparing positions without log terms loses an acknowledged write`() = runTest {
        val withoutTerm = DecisionFault(status = { status ->
            status.copy(end = LogPoint(status.fence, status.end.position))
        })
        val (code, rows) = writeWithLongerOldLog(withoutTerm)
        code shouldBe ResultCode.OK
        rows shouldNotContain "third"
    }

    @Test
    fun `a longer log of an older term does not acknowledge a write`() = runTest {
        val (code, _) = writeWithLongerOldLog(DecisionFault())
        code.outcome shouldBe Outcome.UNKNOWN
    }

    private suspend fun TestScope.writeAtCutOffPrimary(acknowledge: Acknowledge): Result {
        val group = VirtualGroup(this, instances = 3, acknowledge = acknowledge).apply { start() }
        val old = group.indexOf(group.write(group.runtimes[0], "r0", "append k a").ok().server)
        group.cut(old)
        val cut = group.write(group.runtimes[old], "r1", "append k cut", ms = 800)
        val code = cut.fold({ it.code }, { it.code })
        delay(RECOVERY_TIME)
        group.cut(old, isCut = false)
        return Result(code, rows(group))
    }

    private suspend fun TestScope.writeThatArrivesLate(fault: DecisionFault): Result {
        val group = VirtualGroup(this).apply { start() }
        group.decisionFault = fault
        group.transport = CommandTransport { server, command, send ->
            if (command !is Command.Apply) return@CommandTransport send()
            launch {
                delay(RECOVERY_TIME)
                group.deliver(server, command)
            }
            BackendError.Lost("on its way").left()
        }
        val refused = group.write(group.runtimes[0], "r1", "append k late")
        delay(RECOVERY_TIME * 2)
        return Result(refused.fold({ it.code }, { it.code }), rows(group))
    }

    /**
     * The replaced primary is fenced late and has many more entries of its own term. The third
     * server is frozen, so only the new primary has the write.
     */
    private suspend fun TestScope.writeWithLongerOldLog(fault: DecisionFault): Result {
        val group = VirtualGroup(this, instances = 3).apply { start() }
        val first = group.write(group.runtimes[0], "r0", "append k first").ok()
        val old = group.indexOf(first.server)
        group.cut(old)
        appendTail(group, old, first.point.term)
        val other = group.runtimes[(old + 1) % group.nodes.size]
        val second = group.write(other, "r1", "append k second", ms = 30_000).ok()
        val new = group.indexOf(second.server)
        val third = group.nodes.indices.first { it != old && it != new }
        delay(500.milliseconds)
        group.nodes[third].inject(DatabaseFaults(frozen = true))
        group.nodes[new].inject(cutOff(group, old))
        group.nodes[old].inject(cutOff(group, new))
        group.nodes[old].fence(second.point.term)
        group.decisionFault = fault
        val code = group.write(group.runtimes[third], "r2", "append k third", ms = 2_000)
            .fold({ it.code }, { it.code })
        group.decisionFault = DecisionFault()
        group.nodes[new].inject(DatabaseFaults(frozen = true))
        group.nodes[old].inject(DatabaseFaults())
        group.nodes[third].inject(DatabaseFaults())
        delay(RECOVERY_TIME)
        group.nodes[new].inject(DatabaseFaults())
        return Result(code, rows(group))
    }

    private fun cutOff(group: VirtualGroup, index: Int) =
        DatabaseFaults(cutZones = setOf(group.zones[index].value))

    private suspend fun appendTail(group: VirtualGroup, index: Int, term: Long) =
        repeat(TAIL_ENTRIES) {
            group.deliver(group.names[index], Command.Apply(term, listOf("append tail $it")))
        }

    private suspend fun rows(group: VirtualGroup): List<String> {
        delay(RECOVERY_TIME)
        val read = group.read(group.runtimes[1], "get k", kind = "current")
        return read.getOrNull()!!.rows.flatMap { it.split(',') }
    }

    private fun <T> Either<*, T>.ok(): T = checkNotNull(getOrNull()) { "$this" }

    private data class Result(val code: ResultCode, val rows: List<String>)
}
