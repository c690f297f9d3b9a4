package org.yuccawind.core.link

import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Backoff before the next attempt to open a connection after the server refused one because it was
 * full; about five times the time that opening takes.
 */
private val INITIAL_OPEN_BACKOFF = 100.milliseconds

/** Range of the random factor applied to a backoff. */
private const val MIN_JITTER = 0.5
private const val MAX_JITTER = 1.5

/** Upper limit of the backoff, which doubles with each refusal in a row. */
private val MAX_OPEN_BACKOFF = 800.milliseconds

/** Time for which a server counts as full after it refused a connection for that reason. */
private val FULL_TIME = 5.seconds

/**
 * Backoff of the attempts to open connections to a full server: with jitter, so that many instances
 * do not retry at the same time, and exponential for as long as the server stays full.
 */
internal class OpenBackoff(
    private val time: TimeSource.WithComparableMarks,
    private val random: Random
) {
    private var until: ComparableTimeMark? = null
    private var refusedAt: ComparableTimeMark? = null
    private var next = INITIAL_OPEN_BACKOFF

    /** True until the next attempt is due. */
    val isActive get() = until?.hasPassedNow() == false

    /** True if the server refused a connection in the last seconds because it was full. */
    val isServerFull get() = refusedAt?.let { it.elapsedNow() < FULL_TIME } == true

    /** Time until the next attempt is due. */
    val remaining: Duration get() = until?.let { -it.elapsedNow() } ?: Duration.ZERO

    /**
     * Records that the server refused a connection because it was full. [retryAtOnce] is true if
     * room has been made since.
     */
    fun onRefused(retryAtOnce: Boolean) {
        refusedAt = time.markNow()
        if (retryAtOnce) return
        until = time.markNow() + next * random.nextDouble(MIN_JITTER, MAX_JITTER)
        next = minOf(next * 2, MAX_OPEN_BACKOFF)
    }

    /** Records that a connection was opened. */
    fun onOpened() {
        until = null
        next = INITIAL_OPEN_BACKOFF
    }
}
