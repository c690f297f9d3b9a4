package org.yuccawind.core.failover

import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.yuccawind.core.evidence.Certificate
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.LogPoint

private const val PERIOD_MS = 200L
private const val LOST_ROUND_MS = 500L

class FailureDetectorTest {
    private val time = TestTimeSource()
    private val adaptive = DetectionPolicy.Adaptive()

    @Test
    fun `the timeout exceeds one lost probe round`() {
        val timeout = steady().timeout(isRefused = false)
        timeout shouldBeGreaterThan (PERIOD_MS + LOST_ROUND_MS).milliseconds
    }

    @Test
    fun `varying intervals raise the timeout`() {
        val random = Random(5)
        var detector = start()
        repeat(200) { detector = advance(detector, random.nextLong(PERIOD_MS, 5 * PERIOD_MS)) }
        detector.timeout(isRefused = false) shouldBeGreaterThan steady().timeout(isRefused = false)
    }

    @Test
    fun `the timeout stays within its bounds`() = runTest {
        checkAll(200, Arb.long(1L..60_000L)) { interval ->
            var detector = start()
            repeat(20) { detector = advance(detector, interval) }
            val timeout = detector.timeout(isRefused = false)
            timeout shouldBeLessThanOrEqualTo adaptive.maxTimeout
            timeout.coerceAtLeast(adaptive.minTimeout) shouldBe timeout
        }
    }

    @Test
    fun `a fixed timeout does not adapt to intervals`() {
        val fixed = start().copy(policy = DetectionPolicy.Fixed())
        val next = advance(fixed, 900)
        next.timeout(isRefused = false) shouldBe DetectionPolicy.Fixed().timeout
    }

    @Test
    fun `an interval across a change of term is not included`() {
        val before = steady()
        time += 10_000.milliseconds
        before.afterCertificate(certificate(term = 2)).intervals shouldBe before.intervals
    }

    @Test
    fun `a primary that refuses connections is suspected earlier`() {
        steady().timeout(isRefused = false) shouldBeGreaterThan steady().timeout(isRefused = true)
    }

    private fun steady(): FailureDetector {
        var detector = start()
        repeat(50) { detector = advance(detector, PERIOD_MS) }
        return detector
    }

    private fun start() = FailureDetector(adaptive, time.markNow(), term = 1)

    private fun advance(detector: FailureDetector, intervalMs: Long): FailureDetector {
        time += intervalMs.milliseconds
        return detector.afterCertificate(certificate(term = 1))
    }

    private fun certificate(term: Long) =
        Certificate(BackendServerName("db-1"), LogPoint(term, 1), time.markNow())
}
