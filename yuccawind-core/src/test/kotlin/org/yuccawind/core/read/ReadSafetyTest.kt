package org.yuccawind.core.read

import io.kotest.common.ExperimentalKotest
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.yuccawind.core.config.ReadKind
import org.yuccawind.core.evidence.Certificate
import org.yuccawind.core.evidence.EvidenceStore
import org.yuccawind.core.evidence.ProbeRound
import org.yuccawind.core.model.LogPoint

private const val SCHEDULES = 1_000
private const val STEPS = 150
private val KINDS = listOf(ReadKind("any"), ReadKind("young", 20), ReadKind("current", 0))

class ReadSafetyTest {
    private var served = 0

    @Test
    fun `no accepted read misses a write of its session or one older than its bound`() = runTest {
        violations(ReadRules()) shouldBe 0
        served shouldBeGreaterThan SCHEDULES
    }

    @Test
    fun `accepting without the session's point is found`() = runTest {
        val variant = object : ReadRules() {
            override fun accepts(request: ReadRequest, book: EvidenceStore, end: LogPoint) =
                super.accepts(request.copy(seen = LogPoint.ZERO), book, end)
        }
        violations(variant) shouldBeGreaterThan 0
    }

    @Test
    fun `dating evidence from the end of its round is found`() = runTest {
        val variant = object : ReadRules() {
            override fun certificate(round: ProbeRound, endedAt: ComparableTimeMark): Certificate? =
                super.certificate(round, endedAt)?.copy(since = endedAt)
        }
        violations(variant) shouldBeGreaterThan 0
    }

    @Test
    fun `evidence without a majority is found`() = runTest {
        val variant = object : ReadRules() {
            override val majority = 1
        }
        violations(variant) shouldBeGreaterThan 0
    }

    @Test
    fun `comparing positions without their term is found`() = runTest {
        val variant = object : ReadRules() {
            override fun accepts(request: ReadRequest, book: EvidenceStore, end: LogPoint) =
                end.position >= request.seen.position && request.kind.greatestAgeMs == null
        }
        violations(variant) shouldBeGreaterThan 0
    }

    @OptIn(ExperimentalKotest::class)
    private suspend fun violations(rules: ReadRules): Int {
        var found = 0
        checkAll(PropTestConfig(seed = 4102, iterations = SCHEDULES), Arb.long()) { seed ->
            if (hasViolation(rules, Random(seed))) found++
        }
        return found
    }

    private fun hasViolation(rules: ReadRules, random: Random): Boolean {
        val group = GroupModel(random)
        val instances = List(2) { InstanceModel(group, rules) }
        var seen = LogPoint.ZERO
        group.promote()
        repeat(STEPS) {
            val instance = instances.random(random)
            when (random.nextInt(16)) {
                0, 1 -> group.write()
                2, 3, 4 -> group.replicate()
                5, 6 -> group.acknowledge()
                7 -> if (random.nextBoolean()) group.promote()
                8 -> instance.startRound()
                9, 10 -> instance.probe(random.nextInt(3))
                11, 12, 13 -> instance.pass()
                else -> if (isStale(rules, group, instance, seen, random)) return true
            }
            // A session that roams: its token is the last write acknowledged to it.
            if (random.nextInt(3) == 0) group.acknowledged.lastOrNull()?.let { seen = it.point }
        }
        return false
    }

    private fun isStale(
        rules: ReadRules,
        group: GroupModel,
        instance: InstanceModel,
        seen: LogPoint,
        random: Random
    ): Boolean {
        val arrivedAt = group.time.markNow()
        val request = ReadRequest("get k", KINDS.random(random), seen, arrivedAt, arrivedAt)
        if (random.nextBoolean()) instance.startRound()
        repeat(random.nextInt(4)) { instance.probe(random.nextInt(3)) }
        if (random.nextBoolean()) instance.pass()
        val server = random.nextInt(3)
        if (!rules.accepts(request, instance.book, group.end(server))) return false
        served++
        if (seen != LogPoint.ZERO && !group.holds(server, seen)) return true
        val oldest = request.kind.greatestAgeMs?.let { group.time.markNow() - it.milliseconds }
        return oldest != null &&
            group.acknowledged.any { it.at < oldest && !group.holds(server, it.point) }
    }
}
