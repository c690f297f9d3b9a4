package org.yuccawind.core.admission

import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** Repetitions allowed for each statement that a server answered. */
private const val REPEATS_PER_SUCCESS = 0.2

/** Repetitions that may be saved up, for a short interruption without successes. */
private const val CAPACITY = 40.0

/** Repetitions regained per second, so that a server that recovers is found. */
private const val REPEATS_PER_SECOND = 5.0

/** First delay before a statement is sent again to a server that refused it as busy. */
private val FIRST_DELAY = 15.milliseconds

/** Longest such delay. */
private val MAX_DELAY = 240.milliseconds

private const val MAX_DOUBLINGS = 4
private const val MIN_JITTER = 0.5
private const val MAX_JITTER = 1.5

/**
 * Limits how often statements are sent again to servers that refuse them as busy, as a share of
 * the statements that succeed, and spreads these attempts over time.
 *
 * Load: servers without room, for which repetitions would be a multiple of the callers' load.
 *
 * @param time the clock
 * @param random source of the jitter
 */
class RepeatBudget(private val time: TimeSource.WithComparableMarks, private val random: Random) {
    private var tokens = CAPACITY
    private var refilledAt: ComparableTimeMark = time.markNow()

    /** Records a statement that a server has run. */
    fun recordSuccess() = add(REPEATS_PER_SUCCESS)

    /**
     * Decides whether a statement is tried again after [refusals] tries in a row without success,
     * and after which time. The budget counts only tries after which [isServerBusy] is true: a
     * server refused the statement for want of room.
     */
    fun decide(refusals: Int, demand: StatementDemand, isServerBusy: Boolean = true): Admission {
        val pause = delayAfter(refusals)
        return when {
            pause >= demand.timeLeft -> Admission.Refuse(RefusalReason.OUT_OF_TIME)
            isServerBusy && !tryRepeat() -> Admission.Refuse(RefusalReason.SERVERS_BUSY)
            else -> Admission.Wait(pause)
        }
    }

    /** Takes one repetition from the budget. Returns false if it is used up. */
    internal fun tryRepeat(): Boolean {
        add(refilledAt.elapsedNow().toDouble(DurationUnit.SECONDS) * REPEATS_PER_SECOND)
        refilledAt = time.markNow()
        if (tokens < 1) return false
        tokens -= 1
        return true
    }

    /** Returns the delay before the repetition that follows [refusals] refusals in a row. */
    internal fun delayAfter(refusals: Int): Duration {
        val doublings = (refusals - 1).coerceIn(0, MAX_DOUBLINGS)
        val delay = minOf(FIRST_DELAY * 2.0.pow(doublings), MAX_DELAY)
        return delay * random.nextDouble(MIN_JITTER, MAX_JITTER)
    }

    private fun add(amount: Double) {
        tokens = minOf(CAPACITY, tokens + amount)
    }
}
