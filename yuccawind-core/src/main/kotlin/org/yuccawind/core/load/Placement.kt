package org.yuccawind.core.load

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Cost of a statement that fails, in time: it is sent again, or its client tries again. */
private val FAILURE_COST = 300.milliseconds

/** Loss of capacity by failures: a server that fails this share gets next to nothing. */
private const val FAILURE_LIMIT = 0.4

/** Least capacity that counts, relative to the full one, so that recovery is noticed. */
private const val MIN_CAPACITY_SHARE = 0.05

/** Share of failures up to which a server may replace the drawn one. */
private const val SOUND_SHARE = 0.1

/**
 * Share of the statements that a near server gives to another one if these gain a usual answer time
 * there. Low, since the figures are old: a higher one would swing.
 */
private const val OVERFLOW_PER_GAIN = 0.5

/** Largest share of the statements that a near server gives to others. */
private const val MAX_OVERFLOW = 0.5

/** Occupied share of the limit above which the expected wait is not told apart. */
private const val MAX_OCCUPIED_SHARE = 0.95

/**
 * Orders servers for a read. Contains no I/O.
 *
 * What instances share of the servers is up to a second old, and all of them act on it. If each
 * sent its reads to the server with the shortest queue, that would have the longest one before the
 * next news of it. So the shared figures that change slowly decide on shares: a server is drawn by
 * how much it takes. This instance's own statements, whose number it knows at any time, and its
 * connections decide whether another one replaces it.
 */
internal object Placement {
    /**
     * A server that may be chosen.
     *
     * @property server the server
     * @property load what is known of its load
     * @property failedShare share of its statements that fail
     * @property ownDemand statements of this instance that are in progress or wait there
     * @property distance cost of the way to the server; zero if it is in this instance's zone
     * @property linkWait expected time until a connection is available
     */
    data class Candidate<T>(
        val server: T,
        val load: ServerLoad,
        val failedShare: Double,
        val ownDemand: Int,
        val distance: Duration,
        val linkWait: Duration = Duration.ZERO
    ) {
        /** Expected time at the server, with waiting, from the work of all instances. */
        internal val expectedTime: Duration
            get() {
                val occupied = load.occupied.coerceAtMost(load.limit * MAX_OCCUPIED_SHARE)
                return load.answerTime * QueueModel.slowdown(occupied, load.limit)
            }

        /** Returns the cost of the next statement of this instance, if it is meant for [drawn]. */
        internal fun costInPlaceOf(drawn: Candidate<T>): Duration {
            val slower = (load.answerTime - drawn.load.answerTime).coerceAtLeast(Duration.ZERO)
            val farther = (distance - drawn.distance).coerceAtLeast(Duration.ZERO)
            return load.answerTime * (ownDemand / load.limit) + linkWait + slower + farther
        }
    }

    /** Returns the servers of [candidates], the one to use first, the others by their cost. */
    fun <T> order(candidates: List<Candidate<T>>, random: Random): List<T> {
        if (candidates.isEmpty()) return emptyList()
        // Failures that all servers have in common come from the statements.
        val common = candidates.minOf { it.failedShare }
        val sorted = candidates.sortedBy { costOf(it, common) }
        val good = nearIfGood(sorted, common)
        val first = draw(good, common, random)
        val second = (sorted - first).ifEmpty { null }?.let { draw(it, common, random) } ?: first
        val drawn = if (takesOverflow(second, first, random)) second else first
        // The first of equals, so that the draw decides where this instance has nothing running.
        val chosen = (listOf(drawn, second) + sorted)
            .filter { it == drawn || it.failedShare - common < SOUND_SHARE }
            .minBy { it.costInPlaceOf(drawn) }
        return (listOf(chosen) + (sorted - chosen)).map { it.server }
    }

    /** Returns the near servers of [sorted], or all if a remote one is better while idle. */
    private fun <T> nearIfGood(sorted: List<Candidate<T>>, common: Double): List<Candidate<T>> {
        val near = sorted.filter { it.distance == Duration.ZERO }
        val isGood = near.isNotEmpty() && costOf(near.first(), common) <= costOf(sorted[0], common)
        return if (isGood) near else sorted
    }

    private fun <T> costOf(candidate: Candidate<T>, common: Double) =
        candidate.load.answerTime + candidate.distance +
            FAILURE_COST * (candidate.failedShare - common)

    private fun <T> takesOverflow(
        second: Candidate<T>,
        first: Candidate<T>,
        random: Random
    ): Boolean {
        if (second.distance <= first.distance) return false
        val gain = first.expectedTime - second.expectedTime - (second.distance - first.distance)
        val share = OVERFLOW_PER_GAIN * (gain / first.load.answerTime)
        return random.nextDouble() < share.coerceAtMost(MAX_OVERFLOW)
    }

    /** Draws one of [candidates] with a probability in proportion to what it takes. */
    private fun <T> draw(
        candidates: List<Candidate<T>>,
        common: Double,
        random: Random
    ): Candidate<T> {
        var left = random.nextDouble() * candidates.sumOf { capacityOf(it, common) }
        return candidates.firstOrNull {
            left -= capacityOf(it, common)
            left < 0
        } ?: candidates.last()
    }

    private fun <T> capacityOf(candidate: Candidate<T>, common: Double): Double {
        val lost = (candidate.failedShare - common) / FAILURE_LIMIT
        val kept = (1 - lost).coerceAtLeast(MIN_CAPACITY_SHARE)
        return candidate.load.limit / candidate.load.answerTime.inWholeMicroseconds * kept
    }
}
