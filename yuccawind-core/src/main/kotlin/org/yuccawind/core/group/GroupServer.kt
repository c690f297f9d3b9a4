package org.yuccawind.core.group

import arrow.core.Either
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.yuccawind.core.admission.ServerRoom
import org.yuccawind.core.evidence.EvidenceStore
import org.yuccawind.core.link.LinkCommand
import org.yuccawind.core.link.LinkLost
import org.yuccawind.core.link.LinkPool
import org.yuccawind.core.link.LinkReply
import org.yuccawind.core.link.LinkUrgency
import org.yuccawind.core.link.OpenError
import org.yuccawind.core.link.PooledLink
import org.yuccawind.core.load.FailureShare
import org.yuccawind.core.load.GroupLoad
import org.yuccawind.core.load.LoadKind
import org.yuccawind.core.load.ServerLoad
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.statement.StatementCode

/** Weight of a new sample in the moving average of answer times. */
private const val ANSWER_WEIGHT = 0.2

/** Answer time assumed for a server that has not answered yet. */
private val INITIAL_ANSWER_TIME = 15.milliseconds

/** Typical time until a connection is opened or returned to the pool. */
private val EXPECTED_LINK_WAIT = 30.milliseconds

/** Cost added to servers in other zones, for network latency and cross-zone traffic. */
private val CROSS_ZONE_COST = 8.milliseconds

/** Age of the newest answer at which the average of answer times counts half. */
private val HALF_WEIGHT_AGE = 1_000.milliseconds

/**
 * State of one backend server as observed by this instance. Confined to its group's event loop.
 *
 * @property member newest registration of the server
 */
class GroupServer internal constructor(
    member: GroupMember,
    private val pool: LinkPool,
    private val time: TimeSource.WithComparableMarks,
    private val evidence: EvidenceStore,
    private val zone: AvailabilityZone,
    private val groupLoad: GroupLoad?
) {
    /** Newest registration of the server. */
    var member: GroupMember = member
        internal set

    private var leadershipDeniedAt: ComparableTimeMark? = null

    /** Number of exchanges with the server that are in progress. */
    var inFlight = 0
        private set

    /** End of the server's log in its newest answer on any link, or null before the first. */
    var position: LogPoint? = null
        private set

    /** Time of the newest answer, or null before the first. */
    var answeredAt: ComparableTimeMark? = null
        private set

    /** Time of the first failure after the newest answer, or null if there is none. */
    var failingSince: ComparableTimeMark? = null
        private set

    /** Moving average of the time from sending a statement to its answer. */
    var answerTime = INITIAL_ANSWER_TIME
        private set

    /** True if the server's newest status shows that replication to it is paused. */
    var isPaused = false
        private set

    /** Load from all instances together, or null while it is not known. */
    var load: ServerLoad? = null
        internal set

    /** True if a read skipped this server since its log position was last requested. */
    internal var needsPositionRefresh = false

    private val ownFailures = FailureShare(time)

    private var busySince: ComparableTimeMark? = null

    /** Name of the server. */
    val name get() = member.name

    /** Number of links that are open or being opened. */
    val connections get() = pool.size

    /** As [connections], by workspace; null stands for connections without one. */
    val connectionsByWorkspace get() = pool.sizeByWorkspace

    /** Number of callers waiting for a link. */
    val waiting get() = pool.waiting

    /** Expected time until a link is available. */
    val linkWait get() = if (pool.hasIdle) Duration.ZERO else EXPECTED_LINK_WAIT

    /** Cost of the way to the server, in time; zero in the zone of this instance. */
    val distance get() = if (member.zone == zone) Duration.ZERO else CROSS_ZONE_COST

    /** Share of the recent statements that failed or got no answer, here or at all instances. */
    val failedShare get() = maxOf(ownFailures.value, load?.failedShare ?: 0.0)

    /** Number of links in use and of callers waiting for one. */
    val demand get() = pool.waiting + pool.inUse

    /** Room at the server for a statement with [urgency], as far as this instance knows. */
    fun roomFor(urgency: LinkUrgency): ServerRoom {
        val known = load
        val ahead = pool.waitingBefore(urgency).toDouble()
        return ServerRoom(
            slots = known?.limit ?: member.slots.toDouble(),
            inProgress = maxOf(known?.inProgress ?: 0.0, inFlight.toDouble()),
            ahead = maxOf(known?.waiting ?: 0.0, ahead),
            waiting = pool.waiting,
            answerTime = answerTime
        )
    }

    /** Returns the expected time until a statement sent now is answered. */
    fun expectedTime(): Duration {
        val work = ownWork(queue = 1 + inFlight + pool.waiting)
        return distance + work + linkWait
    }

    /**
     * Acquires a link, waiting at most [timeout]. Waiting callers are served by [urgency]. Returns
     * null on timeout.
     */
    suspend fun acquire(timeout: Duration, urgency: LinkUrgency): Either<OpenError, PooledLink>? {
        val result = pool.acquire(timeout, urgency)
        result?.onRight { it.kind = urgency.kind }
        result?.onLeft { if (it is OpenError.Unreachable) recordFailure() }
        return result
    }

    /** Returns [link] to the pool. */
    fun release(link: PooledLink) = pool.release(link)

    /** Sends [commands] on [link] and records the answer, its time, or the failure. */
    suspend fun exchange(
        link: PooledLink,
        commands: List<LinkCommand>
    ): Either<LinkLost, List<LinkReply>> {
        val sentAt = time.markNow()
        if (inFlight++ == 0) busySince = sentAt
        val isWork = commands.any(::usesSlot)
        var isAnswered = false
        try {
            val result = link.exchange(commands)
            isAnswered = result.isRight()
            result.fold({ recordFailure() }, { recordAnswer(it) })
            if (isAnswered && isWork) recordAnswerTime(sentAt.elapsedNow())
            if (isWork) result.onRight { recordWork(kindOf(link, commands), it, sentAt) }
            return result
        } finally {
            if (isWork && !isAnswered) recordUnanswered(sentAt)
            if (--inFlight == 0) busySince = null
        }
    }

    private fun kindOf(link: PooledLink, commands: List<LinkCommand>) =
        if (commands.last() is LinkCommand.Commit) LoadKind.COMMIT else link.kind

    private fun recordWork(kind: LoadKind, replies: List<LinkReply>, sentAt: ComparableTimeMark) {
        // After the first error of a batch the server rejects the remaining commands.
        when (replies.firstNotNullOfOrNull { it.refusal }?.code) {
            null -> {
                ownFailures.recordSuccess()
                groupLoad?.recordAnswer(name, kind, sentAt)
            }

            StatementCode.BUSY -> groupLoad?.recordRefusal(name)

            StatementCode.FAILED -> {
                ownFailures.recordFailure()
                groupLoad?.recordFailure(name, sentAt)
            }

            else -> Unit
        }
    }

    /** Records a statement whose connection was lost, or whose caller gave up. */
    private fun recordUnanswered(sentAt: ComparableTimeMark) {
        ownFailures.recordFailure()
        groupLoad?.recordFailure(name, sentAt)
    }

    private fun ownWork(queue: Int): Duration {
        val age = answeredAt?.elapsedNow() ?: HALF_WEIGHT_AGE
        val ageWeight = HALF_WEIGHT_AGE / (HALF_WEIGHT_AGE + age)
        return answerTime * ageWeight * queue / member.slots.coerceAtLeast(1)
    }

    /** Records that the server could not be reached or did not answer in time. */
    fun recordFailure() {
        isPaused = false
        if (failingSince == null) failingSince = time.markNow()
    }

    /**
     * Returns true if exchanges with the server are in progress and it has answered none for
     * [limit].
     */
    fun isSilentFor(limit: Duration): Boolean {
        val since = maxOf(answeredAt ?: busySince ?: return false, busySince ?: return false)
        return since.elapsedNow() >= limit
    }

    /** Records that the server refused a command that only a primary accepts. */
    fun recordLeadershipDenial() {
        leadershipDeniedAt = time.markNow()
    }

    /** Records that the server proved to be the primary. */
    fun recordLeadership() {
        leadershipDeniedAt = null
    }

    /** Returns true if the server denied at [since] or later that it is the primary. */
    fun hasDeniedLeadershipSince(since: ComparableTimeMark) =
        leadershipDeniedAt?.let { it >= since } == true

    /** Returns true if the server denied within the last [age] that it is the primary. */
    fun hasDeniedLeadershipWithin(age: Duration) =
        leadershipDeniedAt?.let { it.elapsedNow() < age } == true

    internal fun trim() = pool.evictIdle()

    internal fun dropIdle() = pool.closeIdle()

    internal fun close() = pool.close()

    private fun recordAnswer(replies: List<LinkReply>) {
        answeredAt = time.markNow()
        failingSince = null
        replies.lastOrNull { it.report != null }?.report?.let { isPaused = it.isPaused }
        val end = replies.lastOrNull()?.position ?: return
        position = end
        evidence.recordAnswer(name, end)
    }

    private fun recordAnswerTime(elapsed: Duration) {
        answerTime = answerTime * (1 - ANSWER_WEIGHT) + elapsed * ANSWER_WEIGHT
    }

    /** Returns true for commands that occupy a statement slot on the server. */
    private fun usesSlot(command: LinkCommand) = when (command) {
        is LinkCommand.Forward, is LinkCommand.Execute, is LinkCommand.Commit -> true

        is LinkCommand.Begin,
        is LinkCommand.Pause,
        is LinkCommand.Prepare,
        is LinkCommand.SetValue,
        is LinkCommand.StepDown,
        LinkCommand.Reset,
        LinkCommand.Resume,
        LinkCommand.Rollback,
        LinkCommand.Status
        -> false
    }
}
