package org.yuccawind.core.load

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Time in which a server without answers counts as fast as the others again. */
private val FORGET_TIME = 4.seconds

/**
 * Compares the servers of a group kind by kind, so that one which gets other kinds of statements
 * than the others does not look faster or slower than it is.
 */
internal class RelativeSpeed {
    private val slowness = HashMap<LimitLearner, Double>()
    private var usualSeconds = 0.0

    /** Compares the servers of [learners] after a period of [length]. */
    fun update(learners: Collection<LimitLearner>, length: Duration) {
        val answers = HashMap<LoadKind, Double>()
        val work = HashMap<LoadKind, Double>()
        for (learner in learners) {
            for ((kind, usual) in learner.usualSeconds) {
                val weight = (learner.recentAnswers[kind] ?: 0.0) + MIN_WEIGHT
                answers.merge(kind, weight, Double::plus)
                work.merge(kind, weight * usual, Double::plus)
            }
        }
        if (answers.isEmpty()) return
        usualSeconds = work.values.sum() / answers.values.sum()
        slowness.keys.retainAll(learners.toSet())
        for (learner in learners) {
            val shared = learner.recentAnswers.filterKeys { it in learner.usualSeconds }
            slowness[learner] = if (shared.values.sum() < MIN_ANSWERS) {
                val last = slowness[learner] ?: 1.0
                last + (1 - last) * (length / FORGET_TIME).coerceAtMost(1.0)
            } else {
                shared.entries.sumOf { it.value * learner.usualSeconds.getValue(it.key) } /
                    shared.entries.sumOf {
                        it.value * work.getValue(it.key) / answers.getValue(it.key)
                    }
            }
        }
    }

    /** Returns the time that [learner]'s server takes for a usual statement; null if unknown. */
    fun answerTime(learner: LimitLearner): Duration? {
        val factor = slowness[learner] ?: return null
        return (usualSeconds * factor).seconds.takeIf {
            it.toDouble(DurationUnit.MICROSECONDS) >= 1
        }
    }

    private companion object {
        const val MIN_ANSWERS = 1.0
        const val MIN_WEIGHT = 0.01
    }
}
