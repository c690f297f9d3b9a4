package org.yuccawind.core.load

import kotlin.math.exp
import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Time constant with which past periods lose weight. */
private val MEMORY = 500.milliseconds

/** Number of answers from which the limit follows the answer times. */
private const val MIN_ANSWERS = 8.0

/** Number of answers from which the usual time of a kind is used. */
private const val MIN_KIND_ANSWERS = 20.0

/** Number of answers over which the usual time of a kind is averaged. */
private const val USUAL_TIME_ANSWERS = 1_000.0

/** The same where the server works on about one statement, so that none can have waited. */
private const val ALONE_TIME_ANSWERS = 40.0

/** Share of the limit in use up to which usual times are learned. */
private const val QUIET_SHARE = 0.6

/** Statements in progress up to which a slowdown can't come from waiting at the server. */
private const val ALONE = 1.3

/** Change of speed of a server without waiting from which its usual times are learned anew. */
private const val CHANGED_SPEED = 1.5

/** Standard deviations of the mean answer time that count as its uncertainty. */
private const val CONFIDENCE = 1.0

/** Standard deviation of a single answer time, relative to its mean. */
private const val RELATIVE_DEVIATION = 1.0

/** Share of refusals for lack of room from which the limit is lowered to the answered work. */
private const val REFUSED_SHARE = 0.1

/** Time in which the limit returns to the registered slots if nothing speaks against it. */
private val RECOVERY_TIME = 8.seconds

/** Limit in registered slots, above which it is not raised. */
private const val MAX_SLOT_RATIO = 1.2

/** Time constant of the share of failures, and so of its return after the last failure. */
private val FAILURE_MEMORY = 2.seconds

/** Weight of a healthy server's answers in the share of failures before the first answers. */
private const val FAILURE_PRIOR = 4.0

/**
 * Learns how many statements in progress one server takes well, from the answered work of all
 * instances. Contains no I/O and no clock.
 *
 * By Little's law the usual times of the answered statements give the slots that they occupied, and
 * their real times the slowdown. [QueueModel] gives the number of slots at which this work causes
 * this slowdown. The limit is moved only as far as the uncertainty of the mean demands, so that a
 * short queue or a few long statements do not change it.
 *
 * @param minLimit lowest limit
 * @param recoveryTime time in which the limit returns from 0 to the registered slots if nothing
 *   speaks against it
 */
internal class LimitLearner(
    private val minLimit: Double = MIN_LIMIT,
    private val recoveryTime: Duration = RECOVERY_TIME
) {
    private var hasStarted = false
    private val recent = HashMap<LoadKind, Sum>()
    private val usual = HashMap<LoadKind, UsualTime>()
    private var recentSeconds = 0.0
    private var recentRefused = 0.0
    private var failures = 0.0
    private var attempts = FAILURE_PRIOR

    /** Statements in progress that the server takes well; 0 before the first period. */
    var limit = 0.0
        private set

    /** Statements in progress on average over the recent periods. */
    var inProgress = 0.0
        private set

    /** Slots occupied on average by the recent answered statements. */
    var occupied = 0.0
        private set

    /** Share of the recent statements that failed. */
    val failedShare get() = failures / attempts

    /** Answer times without waiting by kind, in seconds, as far as known. */
    val usualSeconds: Map<LoadKind, Double>
        get() = usual.filterValues { it.isKnown }.mapValues { it.value.seconds }

    /** Weighted number of recent answers by kind. */
    val recentAnswers: Map<LoadKind, Double> get() = recent.mapValues { it.value.answered }

    /** Takes in what all instances saw of the server in a [period] of the given length. */
    fun learn(period: ServerCounters, length: Duration, slots: Int) {
        if (!hasStarted) limit = slots.toDouble().coerceAtLeast(minLimit)
        hasStarted = true
        age(length)
        add(period, length)
        inProgress = recent.values.sumOf { it.seconds } / recentSeconds
        followAnswers(slots, length)
        occupied = offeredWork(recent)
        learnUsualTimes(period)
    }

    /** Forgets the recent periods, whose times a suspension has made unreliable. */
    fun discardRecent() {
        recent.clear()
        recentSeconds = 0.0
        recentRefused = 0.0
        inProgress = 0.0
        occupied = 0.0
    }

    private fun age(length: Duration) {
        val kept = exp(-(length / MEMORY))
        recent.values.forEach { it.scale(kept) }
        recent.values.removeIf { it.answered < NEGLIGIBLE }
        recentSeconds *= kept
        recentRefused *= kept
        val keptFailures = exp(-(length / FAILURE_MEMORY))
        failures *= keptFailures
        attempts = FAILURE_PRIOR + (attempts - FAILURE_PRIOR) * keptFailures
    }

    private fun add(period: ServerCounters, length: Duration) {
        recentSeconds += length.toDouble(DurationUnit.SECONDS)
        recentRefused += period.refused
        for (kind in period.kinds) {
            recent.getOrPut(kind.kind) { Sum() }.add(kind.answered, kind.totalUs / US_PER_SECOND)
        }
        failures += period.failed
        attempts += period.failed + period.kinds.sumOf { it.answered }
    }

    /** Returns the mean number of slots that statements of these [sums] occupy. */
    private fun offeredWork(sums: Map<LoadKind, Sum>) =
        sums.entries.sumOf { it.value.answered * (usual[it.key]?.seconds ?: 0.0) } / recentSeconds

    private fun followAnswers(slots: Int, length: Duration) {
        recover(slots, length)
        val known = recent.filter { usual[it.key]?.isKnown == true }
        val answered = known.values.sumOf { it.answered }
        if (answered < MIN_ANSWERS) return
        val offered = offeredWork(known)
        val slowdown = known.values.sumOf { it.seconds } / recentSeconds / offered
        val uncertainty = CONFIDENCE * RELATIVE_DEVIATION / sqrt(answered)
        val max = maxLimit(slots)
        val lowest = QueueModel.slots(offered, slowdown * (1 + uncertainty), max)
        val highest = QueueModel.slots(offered, slowdown * (1 - uncertainty), max)
        limit = limit.coerceAtLeast(lowest).coerceAtMost(highest)
        if (recentRefused > REFUSED_SHARE * answered) limit = minOf(limit, offered)
        limit = limit.coerceIn(minLimit, max)
    }

    private fun recover(slots: Int, length: Duration) {
        if (limit < slots) limit = minOf(slots.toDouble(), limit + slots * (length / recoveryTime))
    }

    private fun maxLimit(slots: Int) = (slots * MAX_SLOT_RATIO).coerceAtLeast(minLimit)

    /**
     * Learns the usual times while the server has room, less the wait that its limit implies. If it
     * is slow with about one statement in progress, or faster than usual, its speed has changed.
     */
    private fun learnUsualTimes(period: ServerCounters) {
        val known = recent.filter { usual[it.key]?.isKnown == true }
        val offered = if (known.isEmpty()) 0.0 else offeredWork(known)
        val slowdown = known.values.sumOf { it.seconds } / recentSeconds / offered
        val isAlone = inProgress <= ALONE
        val hasChanged = known.isNotEmpty() &&
            ((isAlone && slowdown > CHANGED_SPEED) || slowdown < 1 / CHANGED_SPEED)
        val memory = if (hasChanged) ALONE_TIME_ANSWERS else USUAL_TIME_ANSWERS
        val isQuiet = inProgress <= QUIET_SHARE * limit || isAlone || hasChanged
        val waitFactor =
            if (hasChanged || offered >= limit) 1.0 else QueueModel.slowdown(offered, limit)
        for (kind in period.kinds.filter { it.answered > 0 }) {
            val time = usual.getOrPut(kind.kind) { UsualTime() }
            if (!isQuiet && time.isKnown) continue
            val mean = kind.totalUs / US_PER_SECOND / kind.answered
            time.add(mean / waitFactor, kind.answered, memory)
        }
    }

    /** Sums over the recent answers of one kind. */
    private class Sum {
        var answered = 0.0
        var seconds = 0.0

        fun add(count: Int, time: Double) {
            answered += count
            seconds += time
        }

        fun scale(factor: Double) {
            answered *= factor
            seconds *= factor
        }
    }

    /** Moving average of the answer time of one kind at a server that has room. */
    private class UsualTime {
        var seconds = 0.0
            private set
        private var answered = 0.0
        val isKnown get() = answered >= MIN_KIND_ANSWERS

        fun add(mean: Double, count: Int, memory: Double) {
            answered = minOf(answered, memory) + count
            seconds += (mean - seconds) * count / answered
        }
    }

    companion object {
        /** Lowest limit: one statement at a time always shows whether a server has recovered. */
        const val MIN_LIMIT = 1.0

        private const val US_PER_SECOND = 1e6
        private const val NEGLIGIBLE = 0.01
    }
}
