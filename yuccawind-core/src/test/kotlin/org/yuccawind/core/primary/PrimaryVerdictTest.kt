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
        hasSeenPrimary = true,
        registryReadableFor = 20.seconds,
        isRegistered = true,
        areRegistrationsCurrent = true,
        isAnswering = true,
        isDenying = false,
        suspicionShare = 0.0,
        denials = 2,
        registered = 3,
        hasPausedReplicas = false
    )
    private val silent = healthy.copy(silence = 2.seconds, isAnswering = false)

    @Test
    fun `a primary that proves its leadership is trusted`() {
        PrimaryVerdict.of(healthy) shouldBe PrimaryVerdict.Trusted
    }

    @Test
    fun `a primary that shuts down is handed over if there is a successor`() {
        PrimaryVerdict.of(healthy.copy(isLeaving = true)) shouldBe PrimaryVerdict.HandOver
        PrimaryVerdict.of(healthy.copy(isLeaving = true, hasSuccessor = false)) shouldBe
            PrimaryVerdict.Trusted
    }

    @Test
    fun `a working primary unreachable from 30 percent of the homes is handed over`() {
        PrimaryVerdict.of(healthy.copy(suspicionShare = 0.375)) shouldBe PrimaryVerdict.HandOver
        PrimaryVerdict.of(healthy.copy(suspicionShare = 0.125)) shouldBe PrimaryVerdict.Trusted
    }

    @Test
    fun `a change that left replicas paused is completed whatever the primary does`() {
        val paused = healthy.copy(hasPausedReplicas = true)
        PrimaryVerdict.of(paused) shouldBe PrimaryVerdict.Finish
        PrimaryVerdict.of(paused.copy(silence = 2.seconds, isAnswering = false)) shouldBe
            PrimaryVerdict.Finish
        PrimaryVerdict.of(paused.copy(areRegistrationsCurrent = false)) shouldBe
            PrimaryVerdict.Trusted
    }

    @Test
    fun `a silent primary is suspected but not replaced while it is registered`() {
        PrimaryVerdict.of(silent) shouldBe PrimaryVerdict.Doubted
    }

    @Test
    fun `a primary that answers is not suspected even if there is no recent proof`() {
        PrimaryVerdict.of(silent.copy(isAnswering = true)) shouldBe PrimaryVerdict.Trusted
    }

    /** Guards against a group without a primary after its holder failed between two steps. */
    @Test
    fun `a primary that has stepped down is suspected if no other leads`() {
        val steppedDown = silent.copy(isAnswering = true, isDenying = true, silence = 3.seconds)
        PrimaryVerdict.of(steppedDown) shouldBe PrimaryVerdict.Doubted
        PrimaryVerdict.of(steppedDown.copy(silence = 1.seconds)) shouldBe PrimaryVerdict.Trusted
    }

    @Test
    fun `a silent primary that is no longer registered is replaced`() {
        PrimaryVerdict.of(silent.copy(isRegistered = false))
            .shouldBeInstanceOf<PrimaryVerdict.Replace>()
    }

    @Test
    fun `a primary is promoted when every server denies leadership`() {
        PrimaryVerdict.of(silent.copy(denials = 3)).shouldBeInstanceOf<PrimaryVerdict.Replace>()
    }

    @Test
    fun `an instance that has not seen a primary waits instead of replacing it`() {
        val restarted = silent.copy(hasSeenPrimary = false, isRegistered = false)
        PrimaryVerdict.of(restarted).shouldBeInstanceOf<PrimaryVerdict.Waiting>()
    }

    @Test
    fun `without a known primary a promotion waits until all servers had time to register`() {
        val starting = silent.copy(
            hasSeenPrimary = false,
            isRegistered = false,
            registryReadableFor = 2.seconds,
            denials = 1,
            registered = 1
        )
        PrimaryVerdict.of(starting).shouldBeInstanceOf<PrimaryVerdict.Waiting>()
        PrimaryVerdict.of(starting.copy(registryReadableFor = 6.seconds))
            .shouldBeInstanceOf<PrimaryVerdict.Replace>()
    }

    @Test
    fun `no primary is replaced while the registrations can't be read`() {
        val unreadable = silent.copy(isRegistered = false, areRegistrationsCurrent = false)
        PrimaryVerdict.of(unreadable).shouldBeInstanceOf<PrimaryVerdict.Waiting>()
    }

    @Test
    fun `a majority is more than half of the homes`() {
        SuspicionCount(suspecting = 4, homes = 8).isMajority shouldBe false
        SuspicionCount(suspecting = 5, homes = 8).isMajority shouldBe true
    }
}
