package org.yuccawind.core.group

import arrow.core.Either
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.yuccawind.core.evidence.EvidenceStore
import org.yuccawind.core.link.LinkCommand
import org.yuccawind.core.link.LinkLost
import org.yuccawind.core.link.LinkPool
import org.yuccawind.core.link.LinkReply
import org.yuccawind.core.link.LinkUrgency
import org.yuccawind.core.link.OpenError
import org.yuccawind.core.link.PooledLink
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.LogPoint

/** Weight of a new answer in the moving average of answer times. */
private const val ANSWER_WEIGHT = 0.2

/** Answer time assumed of a server that has not answered yet. */
private val FIRST_GUESS = 15.milliseconds

/** Usual time until a connection is opened or given back. */
private val LINK_WAIT = 30.milliseconds

/** Time and traffic that a server in this instance's own zone saves. */
private val ZONE_WAY = 8.milliseconds

/** Time within which an average without new answers loses half of its weight. */
private val FORGET_PERIOD = 1_000.milliseconds

/**
 * One backend server of a group, as this instance sees it. Confined to its group's event loop.
 *
 * @property member its newest registration
 */
class GroupServer internal constructor(
    member: GroupMember,
    private val pool: LinkPool,
    private val time: TimeSource.WithComparableMarks,
    private val book: EvidenceStore,
    private val zone: AvailabilityZone
) {
    /** The newest registration. */
    var member: GroupMember = member
        internal set

    private var deniedAt: ComparableTimeMark? = null

    /** Statements on their way to the server or running there. */
    var inFlight = 0
        private set

    /** End of the server's log in its newest answer on any link. */
    var position: LogPoint? = null
        private set

    /** When the newest answer came, or null. */
    var answeredAt: ComparableTimeMark? = null
        private set

    /** When the first failure since the newest answer came, or null. */
    var failingSince: ComparableTimeMark? = null
        private set

    /** Moving average of the time from a statement's sending to its answer. */
    var answerTime = FIRST_GUESS
        private set

    /** True once a read has passed over the server since its log was last looked at. */
    internal var isPassedOver = false

    private var busySince: ComparableTimeMark? = null

    /** Name of the server. */
    val name get() = member.name

    /** Links open or being opened. */
    val connections get() = pool.size

    /** Callers that wait for a link, and links in use. */
    val demand get() = pool.waiting + pool.inUse

    /** Expected time until a statement sent now is answered. */
    fun expectedTime(): Duration {
        val age = answeredAt?.elapsedNow() ?: FORGET_PERIOD
        val memory = FORGET_PERIOD / (FORGET_PERIOD + age)
        val queue = 1 + inFlight + pool.waiting
        val work = answerTime * memory * queue / member.slots.coerceAtLeast(1)
        val way = if (member.zone == zone) Duration.ZERO else ZONE_WAY
        return way + if (pool.hasIdle) work else work + LINK_WAIT
    }

    /** Takes a link, waiting at most [patience]; [urgency] says who goes first. */
    suspend fun acquire(patience: Duration, urgency: LinkUrgency): Either<OpenError, PooledLink>? {
        val result = pool.acquire(patience, urgency)
        result?.onLeft { if (it is OpenError.Unreachable) noteFailure() }
        return result
    }

    /** Gives [link] back. */
    fun release(link: PooledLink) = pool.release(link)

    /** Sends [commands] on [link] and takes note of how the server answers. */
    suspend fun exchange(
        link: PooledLink,
        commands: List<LinkCommand>
    ): Either<LinkLost, List<LinkReply>> {
        val sentAt = time.markNow()
        if (inFlight++ == 0) busySince = sentAt
        try {
            val result = link.exchange(commands)
            result.fold({ noteFailure() }, { noteAnswer(it) })
            if (result.isRight() && commands.any(::isWork)) noteAnswerTime(sentAt.elapsedNow())
            return result
        } finally {
            if (--inFlight == 0) busySince = null
        }
    }

    /** Takes note that an answer did not come in time. */
    fun noteFailure() {
        if (failingSince == null) failingSince = time.markNow()
    }

    /** True when the server has work from here and answered nothing for [limit]. */
    fun isSilentFor(limit: Duration): Boolean {
        val since = maxOf(answeredAt ?: busySince ?: return false, busySince ?: return false)
        return since.elapsedNow() >= limit
    }

    /** Takes note that the server refused what only a primary runs. */
    fun noteDenial() {
        deniedAt = time.markNow()
    }

    /** Takes note that the server proved to lead. */
    fun noteLead() {
        deniedAt = null
    }

    /** True when the server denied at [since] or later that it leads. */
    fun hasDeniedSince(since: ComparableTimeMark) = deniedAt?.let { it >= since } == true

    /** True when the server denied within [age] that it leads. */
    fun isDenying(age: Duration) = deniedAt?.let { it.elapsedNow() < age } == true

    internal fun trim() = pool.evictIdle()

    internal fun dropIdle() = pool.closeIdle()

    internal fun close() = pool.close()

    private fun noteAnswer(replies: List<LinkReply>) {
        answeredAt = time.markNow()
        failingSince = null
        val end = replies.lastOrNull()?.position ?: return
        position = end
        book.recordAnswer(name, end)
    }

    private fun noteAnswerTime(elapsed: Duration) {
        answerTime = answerTime * (1 - ANSWER_WEIGHT) + elapsed * ANSWER_WEIGHT
    }

    /** True for commands that take a statement slot of the server. */
    private fun isWork(command: LinkCommand) = when (command) {
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
