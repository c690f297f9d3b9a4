package org.yuccawind.core.load

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.microseconds
import kotlinx.serialization.Serializable
import org.yuccawind.core.model.BackendServerName

/**
 * A home's [ServerLoad] of a server, in the form that is passed to other instances.
 *
 * @property server the server
 * @property limit number of statements in progress that the server is known to take well
 * @property inProgress statements in progress at the server
 * @property waiting callers that wait for the server
 * @property answerUs answer time of a usual statement that does not wait, in microseconds
 * @property failedShare share of the statements that fail
 * @property occupied slots that the answered statements occupied on average
 * @property ageUs age of the observation when the message was sent, in microseconds
 */
@Serializable
data class ServerView(
    val server: BackendServerName,
    val limit: Double,
    val inProgress: Double,
    val waiting: Double,
    val answerUs: Long,
    val failedShare: Double,
    val occupied: Double,
    val ageUs: Long
) {
    /**
     * Returns the load, dated relative to [sentAt], the time at which it was requested, so that
     * neither network delay nor a suspension makes it look newer than it is. Null if a figure is
     * out of range.
     */
    fun toLoad(sentAt: ComparableTimeMark): ServerLoad? {
        val figures = listOf(limit, inProgress, waiting, failedShare, occupied)
        if (figures.any { !it.isFinite() || it < 0 }) return null
        if (ageUs < 0 || answerUs <= 0) return null
        return ServerLoad(
            limit = limit.coerceAtLeast(LimitLearner.MIN_LIMIT),
            inProgress = inProgress,
            waiting = waiting,
            observedAt = sentAt - ageUs.microseconds,
            answerTime = answerUs.microseconds,
            failedShare = failedShare.coerceAtMost(1.0),
            occupied = occupied
        )
    }

    companion object {
        /** Returns the view of [load] at [server] as of now. */
        fun of(server: BackendServerName, load: ServerLoad) = ServerView(
            server,
            load.limit,
            load.inProgress,
            load.waiting,
            load.answerTime.inWholeMicroseconds,
            load.failedShare,
            load.occupied,
            // Rounded up, so that it never looks newer than it is.
            load.observedAt.elapsedNow().inWholeMicroseconds + 1
        )
    }
}
