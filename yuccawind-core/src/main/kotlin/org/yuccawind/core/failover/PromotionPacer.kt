package org.yuccawind.core.failover

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.yuccawind.core.model.ServiceName

private val TIME_PER_PROMOTION = 10.milliseconds
private const val HASH_FACTOR = -0x61c8864680b583ebL
private const val FRACTION_BITS = 53
private const val FRACTION_SCALE = 1.0 / (1L shl FRACTION_BITS)

/**
 * Spreads promotions over time when many services lose their primaries at once, so that the writes
 * of all instances stay within the platform's rate limit. The length of the time window is
 * proportional to the number of services whose primaries are suspected; the position of a service
 * within the window is derived from a hash of its name.
 *
 * @property timePerPromotion growth of the window per suspected service
 */
class PromotionPacer(private val timePerPromotion: Duration = TIME_PER_PROMOTION) {
    private val lock = ReentrantLock()
    private val suspected = HashSet<ServiceName>()

    /**
     * Greatest number of services suspected at once since there were none. The window is sized by
     * this peak, since a shrinking window would let the remaining promotions start all at once.
     */
    private var peak = 0

    /** Records whether the primary of [service] is suspected. */
    fun setSuspected(service: ServiceName, isSuspected: Boolean): Unit = lock.withLock {
        if (isSuspected) suspected += service else suspected -= service
        peak = if (suspected.isEmpty()) 0 else maxOf(peak, suspected.size)
    }

    /** Returns the delay of the promotion of [service]. */
    fun delayFor(service: ServiceName): Duration {
        val others = lock.withLock { peak - 1 }.coerceAtLeast(0)
        return timePerPromotion * others * positionInWindow(service)
    }

    /** Returns a pseudo-random position in the range from 0 to 1. */
    private fun positionInWindow(service: ServiceName): Double {
        val mixed = service.value.hashCode() * HASH_FACTOR
        return (mixed ushr (Long.SIZE_BITS - FRACTION_BITS)) * FRACTION_SCALE
    }
}
