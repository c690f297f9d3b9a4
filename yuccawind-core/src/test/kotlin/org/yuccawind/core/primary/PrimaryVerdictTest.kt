package org.yuccawind.core.primary

import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Test

class PrimaryVerdictTest {
    private val healthy = PrimaryFacts(
        silence = 100.milliseconds,
        isLeaving = false,
        hasSuccessor = true,
        isKnown = true,
        listedFor = 20.seconds,
        isRegistered = true,
        areRegistrationsCurrent = true,
        isAnswering = true,
        doubtShare = 0.0,
        denials = 2,
        registered = 3
    )
    private val silent = healthy.copy(silence = 2.seconds, isAnswering = false)

    @Test
    fun `a primary that proves its lead is trusted`() {
        PrimaryVerdict.of(healthy) shouldBe PrimaryVerdict.Trusted
    }

    @Test
    fun `a leaving primary is handed over if another server stays`() {
        PrimaryVerdict.of(healthy.copy(isLeaving = true)) shouldBe PrimaryVerdict.HandOver
        PrimaryVerdict.of(healthy.copy(isLeaving = true, hasSuccessor = false)) shouldBe
            PrimaryVerdict.Trusted
    }

    @Test
    fun `a working primary out of reach of a third of the instances is handed over`() {
        PrimaryVerdict.of(healthy.copy(doubtShare = 0.375)) shouldBe PrimaryVerdict.HandOver
        PrimaryVerdict.of(healthy.copy(doubtShare = 0.125)) shouldBe PrimaryVerdict.Trusted
    }

    @Test
    fun `a silent primary is doubted, not replaced, while it is registered`() {
        PrimaryVerdict.of(silent) shouldBe PrimaryVerdict.Doubted
    }

    @Test
    fun `a primary that answers without a proof at hand is not doubted`() {
        PrimaryVerdict.of(silent.copy(isAnswering = true)) shouldBe PrimaryVerdict.Trusted
    }

    @Test
    fun `a silent primary that is no longer registered is replaced`() {
        PrimaryVerdict.of(silent.copy(isRegistered = false))
            .shouldBeInstanceOf<PrimaryVerdict.Replace>()
    }

    @Test
    fun `a group in which every server denies to lead gets a primary`() {
        PrimaryVerdict.of(silent.copy(denials = 3)).shouldBeInstanceOf<PrimaryVerdict.Replace>()
    }

    @Test
    fun `an instance that has not seen a primary yet leaves a change to those that have`() {
        val restarted = silent.copy(isKnown = false, isRegistered = false)
        PrimaryVerdict.of(restarted).shouldBeInstanceOf<PrimaryVerdict.Waiting>()
    }

    @Test
    fun `servers that all deny to lead get a primary only once all had time to register`() {
        val starting = silent.copy(
            isKnown = false,
            isRegistered = false,
            listedFor = 2.seconds,
            denials = 1,
            registered = 1
        )
        PrimaryVerdict.of(starting).shouldBeInstanceOf<PrimaryVerdict.Waiting>()
        PrimaryVerdict.of(starting.copy(listedFor = 6.seconds))
            .shouldBeInstanceOf<PrimaryVerdict.Replace>()
    }

    @Test
    fun `nothing is changed while the registrations can't be read`() {
        val blind = silent.copy(isRegistered = false, areRegistrationsCurrent = false)
        PrimaryVerdict.of(blind).shouldBeInstanceOf<PrimaryVerdict.Waiting>()
    }

    @Test
    fun `more than half of the instances make a majority`() {
        Tally(doubters = 4, homes = 8).isMajority shouldBe false
        Tally(doubters = 5, homes = 8).isMajority shouldBe true
    }
}
