package org.yuccawind.standins.network

import kotlin.random.Random
import kotlin.time.Duration
import kotlinx.coroutines.delay

private const val MAX_RETRANSMISSIONS = 4

/**
 * Simulates message delays between availability zones; messages within a zone are not delayed.
 *
 * @property zone zone of this end
 * @property settings delay, variation and loss of the links
 * @property random source of the variation; a fixed seed makes a run repeatable
 */
class LinkModel(
    private val zone: String,
    private val settings: LinkSettings,
    private val random: Random
) {
    /** Waits for the delay of one message between this zone and [other]. */
    suspend fun delayMessage(other: String) {
        if (other.isNotEmpty() && other != zone) delay(messageDelay())
    }

    /** Returns the delay of one message to another zone. */
    fun messageDelay(): Duration = synchronized(random) {
        val factor = 1 + (settings.variation - 1) * random.nextDouble()
        settings.oneWay * factor + retransmissionDelay()
    }

    private fun retransmissionDelay(): Duration {
        var total = Duration.ZERO
        var timeout = settings.retransmission
        repeat(MAX_RETRANSMISSIONS) {
            if (random.nextDouble() >= settings.loss) return total
            total += timeout
            timeout *= 2
        }
        return total
    }
}
