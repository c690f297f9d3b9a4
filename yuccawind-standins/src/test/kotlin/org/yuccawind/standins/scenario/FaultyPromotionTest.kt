package org.yuccawind.standins.scenario

import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.yuccawind.standins.database.DatabaseFaults

/** Each scenario fails with a defective promoter and passes with the real one. */
class FaultyPromotionTest {
    @Test
    fun `choosing by position without the term loses acknowledged writes`() = runTest {
        groupWithLongerOldLog()
            .also { it.promoteWith(PromoterFlaw.CHOOSES_BY_POSITION, listOf(0, 1)) }
            .violation().shouldNotBeNull() shouldContain "lost"
    }

    @Test
    fun `a longer log of an older term is not chosen`() = runTest {
        val group = groupWithLongerOldLog()
        group.promoter("real", members = group.servers - group.names[2]).run()
        group.violation().shouldBeNull()
    }

    @Test
    fun `naming the primary without compare-and-swap gives one term to two servers`() = runTest {
        val group = PromotionTestGroup(this)
        group.promote()
        val faulty = FaultyPromoter(group, PromoterFlaw.NAMES_WITHOUT_COMPARE_AND_SWAP)
        val taken = faulty.take()
        val answers = faulty.fence(taken.term, listOf(0, 1))
        val leader = group.promote("other")
        group.writeEverywhere()
        group.awaitReplication()
        faulty.nameAndPromote(taken, answers)
        group.promoter("third", members = group.servers - leader.primary).run()
        group.violation().shouldNotBeNull() shouldContain "led by"
    }

    @Test
    fun `a fence that allows replication loses acknowledged writes`() = runTest {
        val group = groupWithUnreplicatedWrite()
        val faulty = FaultyPromoter(group, PromoterFlaw.FENCE_ALLOWS_REPLICATION)
        val taken = faulty.take()
        val answers = faulty.fence(taken.term, listOf(1, 2))
        group.replicateToThirdServer()
        faulty.nameAndPromote(taken, answers)
        group.violation().shouldNotBeNull() shouldContain "lost"
    }

    @Test
    fun `a fence that stops replication prevents the acknowledgement of such a write`() = runTest {
        val group = groupWithUnreplicatedWrite()
        val done = group.promoter("real", members = group.servers - group.names[0]).run()
        group.replicateToThirdServer()
        done.shouldNotBeNull()
        group.violation().shouldBeNull()
    }

    /** The old primary has a long log of term 1, the other servers a shorter one of term 2. */
    private suspend fun TestScope.groupWithLongerOldLog(): PromotionTestGroup {
        val group = PromotionTestGroup(this)
        val first = group.promote()
        val old = group.names.indexOf(first.primary)
        check(old == 0)
        group.awaitReplication()
        group.nodes[0].inject(DatabaseFaults(cutZones = setOf("b", "c")))
        repeat(5) { group.write(0, first.term) }
        group.promoter("second", members = group.servers - group.names[0]).run()
        group.writeEverywhere()
        group.awaitReplication()
        check(group.acknowledged.isNotEmpty())
        return group
    }

    private suspend fun PromotionTestGroup.promoteWith(flaw: PromoterFlaw, members: List<Int>) {
        val faulty = FaultyPromoter(this, flaw)
        val taken = faulty.take()
        val answers = faulty.fence(taken.term, members)
        nodes[0].inject(DatabaseFaults())
        faulty.nameAndPromote(taken, answers)
    }

    /** The primary has a write that has not been replicated to any other server. */
    private suspend fun TestScope.groupWithUnreplicatedWrite(): PromotionTestGroup {
        val group = PromotionTestGroup(this)
        val first = group.promote()
        check(group.names.indexOf(first.primary) == 0)
        group.awaitReplication()
        group.nodes[0].inject(DatabaseFaults(cutZones = setOf("b", "c")))
        group.write(0, first.term)
        return group
    }

    /** Lets the old primary replicate to the third server only. */
    private suspend fun PromotionTestGroup.replicateToThirdServer() {
        nodes[0].inject(DatabaseFaults(cutZones = setOf("b")))
        awaitReplication()
    }
}
