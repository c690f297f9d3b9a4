package org.yuccawind.core.load

import kotlin.math.exp
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Time constant with which past answers lose weight. */
private val MEMORY = 2.seconds

/** Weight of a healthy server's answers before the first answer. */
private const val PRIOR = 4.0

/** Share of the recent statements that failed, as one instance sees it. */
internal class FailureShare(private val time: TimeSource.WithComparableMarks) {
    private var failures = 0.0
    private var attempts = 0.0
    private var updatedAt = time.markNow()

    /** The share, which returns to 0 while nothing is sent. */
    val value: Double
        get() {
            val kept = keptWeight()
            return failures * kept / (PRIOR + attempts * kept)
        }

    /** Records a statement that the server answered. */
    fun recordSuccess() = record(0.0)

    /** Records a statement that failed or was not answered. */
    fun recordFailure() = record(1.0)

    private fun record(failure: Double) {
        val kept = keptWeight()
        failures = failures * kept + failure
        attempts = attempts * kept + 1
        updatedAt = time.markNow()
    }

    private fun keptWeight() = exp(-(updatedAt.elapsedNow() / MEMORY))
}
