package org.yuccawind.core.failover

import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.junit.jupiter.api.Test
import org.yuccawind.core.model.InstanceId

class FailoverVerdictTest {
    private val facts = FailoverFacts(
        silence = 1_100.milliseconds,
        timeout = 1_000.milliseconds,
        rank = 0,
        promotionDelay = Duration.ZERO,
        reached = 2,
        majority = 2,
        witness = null
    )

    @Test
    fun `the first rank promotes once the timeout has passed`() {
        FailoverVerdict.of(facts) shouldBe FailoverVerdict.Promote
    }

    @Test
    fun `silence up to the timeout is trusted`() {
        FailoverVerdict.of(facts.copy(silence = facts.timeout)) shouldBe FailoverVerdict.Trusted
    }

    @Test
    fun `a later rank waits and then promotes`() {
        val second = facts.copy(rank = 1)
        FailoverVerdict.of(second).shouldBeInstanceOf<FailoverVerdict.Waiting>()
        val later = second.copy(silence = facts.timeout + RANK_STAGGER)
        FailoverVerdict.of(later) shouldBe FailoverVerdict.Promote
    }

    @Test
    fun `an instance that reaches no majority does not promote`() {
        FailoverVerdict.of(facts.copy(reached = 1)) shouldBe FailoverVerdict.CutOff(1)
    }

    @Test
    fun `a peer with a recent certificate prevents the promotion`() {
        val peer = InstanceId("proxy-2")
        FailoverVerdict.of(facts.copy(witness = peer)) shouldBe FailoverVerdict.Contradicted(peer)
    }
}
