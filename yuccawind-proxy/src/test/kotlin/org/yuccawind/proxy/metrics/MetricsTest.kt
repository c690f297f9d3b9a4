package org.yuccawind.proxy.metrics

import io.kotest.matchers.string.shouldContain
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.yuccawind.core.failover.PromotionPhase
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.ServerRole
import org.yuccawind.core.port.DecisionLog
import org.yuccawind.core.result.ResultCode
import org.yuccawind.standins.platform.FakePlatform
import org.yuccawind.standins.platform.PlatformFaults
import org.yuccawind.standins.platform.PlatformModel

class MetricsTest {
    private val metrics = Metrics()
    private val log = MeteredLog(DecisionLog.NONE, metrics)

    @Test
    fun `accepted and rejected reads are counted separately by role`() {
        log.record("read_route", "role" to ServerRole.REPLICA, "accepted" to true)
        log.record("read_route", "role" to ServerRole.REPLICA, "accepted" to false)
        log.record("read_route", "role" to ServerRole.PRIMARY, "accepted" to true)
        scrape() shouldContain "yuccawind_reads_total{role=\"replica\"} 1.0"
        scrape() shouldContain "yuccawind_reads_total{role=\"primary\"} 1.0"
        scrape() shouldContain "yuccawind_read_answers_rejected_total{role=\"replica\"} 1.0"
    }

    @Test
    fun `promotion phases are counted without term or reason in the label`() {
        log.record("promotion", "phase" to PromotionPhase.Taken(7, 3))
        log.record("promotion", "phase" to PromotionPhase.Abandoned("fenced 1 of 2"))
        scrape() shouldContain "yuccawind_failover_phases_total{phase=\"taken\"} 1.0"
        scrape() shouldContain "yuccawind_failover_phases_total{phase=\"abandoned\"} 1.0"
    }

    @Test
    fun `refusals are counted by result code and request times are in seconds`() {
        metrics.recordRequest("read", ResultCode.STALE, 1_500.milliseconds)
        metrics.recordRequest("read", null, 500.milliseconds)
        scrape() shouldContain "yuccawind_refusals_total{code=\"STALE\"} 1.0"
        scrape() shouldContain "yuccawind_request_seconds_sum{operation=\"read\"} 2.0"
        scrape() shouldContain "yuccawind_requests_total{operation=\"read\",outcome=\"ran\"} 1.0"
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `platform calls are counted by result, including calls during an outage`() = runTest {
        val model = PlatformModel(testScheduler.timeSource)
        val platform =
            MeteredPlatform(
                FakePlatform(model, AvailabilityZone("a")),
                metrics,
                testScheduler.timeSource
            )
        platform.get("k")
        model.inject(PlatformFaults(isOut = true))
        platform.get("k")
        scrape() shouldContain
            "yuccawind_platform_calls_total{operation=\"get\",result=\"ok\"} 1.0"
        scrape() shouldContain
            "yuccawind_platform_calls_total{operation=\"get\",result=\"unavailable\"} 1.0"
    }

    private fun scrape() = MetricsApi(metrics.registry).text().decodeToString()
}
