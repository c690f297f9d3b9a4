package org.yuccawind.standins.scenario

import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test

private const val SERVICES = 160
private const val WARM_UP_SECONDS = 4

/** Write limit; the platform accepts several hundred writes per second. */
private const val MAX_WRITES_PER_SECOND = 300L
private const val STEPS_PER_SECOND = 10
private const val FAILOVER_LIMIT_SECONDS = 15

class ZoneLossTest {
    @Test
    fun `losing a zone with many primaries stays within the platform's write rate`() = runTest {
        peakWritesPerSecond(null) shouldBeLessThanOrEqualTo MAX_WRITES_PER_SECOND
    }

    @Test
    fun `without pacing the platform's write rate is exceeded`() = runTest {
        peakWritesPerSecond(Duration.ZERO) shouldBeGreaterThan MAX_WRITES_PER_SECOND
    }

    /** Peak platform writes per second from the loss of the zone until all services failed over. */
    private suspend fun TestScope.peakWritesPerSecond(timePerPromotion: Duration?): Long {
        val services = MultiServiceCluster(this, SERVICES, timePerPromotion).apply { start() }
        delay(WARM_UP_SECONDS.seconds)
        services.loseZone()
        val writes = ArrayList<Long>()
        while (writes.size < STEPS_PER_SECOND || services.failedOverCount() < SERVICES) {
            check(writes.size < FAILOVER_LIMIT_SECONDS * STEPS_PER_SECOND) {
                "services not failed over in time"
            }
            delay(1.seconds / STEPS_PER_SECOND)
            writes += services.platform.counts.writes.sum()
        }
        return writes.windowed(STEPS_PER_SECOND, partialWindows = true)
            .maxOf { it.last() - it.first() }
    }
}
