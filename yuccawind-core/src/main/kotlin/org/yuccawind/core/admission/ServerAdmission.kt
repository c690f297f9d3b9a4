package org.yuccawind.core.admission

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.Duration

/** Number of statements that may wait for one server at this instance. */
const val MAX_WAITING = 2_000

/**
 * Room at a server as far as this instance knows.
 *
 * @property slots number of statements that it runs at the same time
 * @property inProgress statements in progress there
 * @property ahead statements that wait for it and go before the one to be decided
 * @property waiting all callers that wait for it at this instance
 * @property answerTime time from sending a statement to its answer
 */
data class ServerRoom(
    val slots: Double,
    val inProgress: Double,
    val ahead: Double,
    val waiting: Int,
    val answerTime: Duration
) {
    /**
     * Time until a statement that arrives now can be sent. By Little's law the server answers
     * [inProgress] statements in each [answerTime], which includes its own queue.
     */
    val expectedWait: Duration
        get() = answerTime * (ahead / maxOf(slots, inProgress, 1.0))
}

/**
 * Decides whether a statement waits for a place at one of the servers that could run it.
 *
 * Load: a kind of request or a workspace that comes several times as often as usual, while few
 * servers can run it. Without a decision on arrival all wait, and most are refused at their
 * deadline.
 */
object ServerAdmission {
    /** Returns why a statement that one of [rooms] could run is refused, or Unit if it is not. */
    fun check(
        rooms: Iterable<ServerRoom>,
        demand: StatementDemand
    ): Either<Admission.Refuse, Unit> =
        (decide(rooms, demand) as? Admission.Refuse)?.left() ?: Unit.right()

    /** Decides about a statement that one of [rooms] could run. */
    fun decide(rooms: Iterable<ServerRoom>, demand: StatementDemand): Admission {
        val timeLeft = demand.timeLeft
        if (timeLeft <= Duration.ZERO) return Admission.Refuse(RefusalReason.OUT_OF_TIME)
        val open = rooms.filter { it.waiting < MAX_WAITING }
        val best = open.minByOrNull { it.expectedWait + it.answerTime }
            ?: return Admission.Refuse(RefusalReason.NO_ROOM)
        val wait = best.expectedWait
        return when {
            wait == Duration.ZERO -> Admission.Take

            wait + best.answerTime > timeLeft ->
                Admission.Refuse(RefusalReason.NO_ROOM, wait + best.answerTime - timeLeft)

            else -> Admission.Wait(timeLeft - best.answerTime)
        }
    }
}
