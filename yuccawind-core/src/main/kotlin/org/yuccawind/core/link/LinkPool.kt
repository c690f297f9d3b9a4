package org.yuccawind.core.link

import arrow.core.Either
import arrow.core.right
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.statement.SessionState

/** Time without new attempts after the server refused a connection: about five open times. */
private val FULL_PAUSE = 100.milliseconds

/** Range of the random factor of such a time. */
private const val MIN_JITTER = 0.5
private const val MAX_JITTER = 1.5

/** Greatest such time, after several refusals in a row. */
private val LONGEST_FULL_PAUSE = 800.milliseconds

/**
 * The connections of this instance to one backend server. Confined to the event loop of its group.
 *
 * New connections are opened only while somebody waits; the queue says who gets the first one, new
 * or given back.
 *
 * @param limit connections that this instance may open
 * @param floor connections that stay open when unused
 * @param idleLimit time after which a link above the floor that nobody used is closed
 * @param answerTime time that an answer is expected to take once a link is had
 * @param random spreads the pauses before a full server
 */
internal class LinkPool(
    private val scope: CoroutineScope,
    private val time: TimeSource.WithComparableMarks,
    private val limit: () -> Int,
    private val floor: () -> Int,
    private val idleLimit: () -> Duration,
    answerTime: () -> Duration,
    private val random: Random,
    private val open: suspend () -> Either<OpenError, PooledLink>
) {
    private val idle = ArrayDeque<PooledLink>()
    private val waiters = LinkQueue(time, answerTime)
    private var held = 0
    private var opening = 0
    private var fullUntil: ComparableTimeMark? = null
    private var fullPause = FULL_PAUSE
    private var isClosed = false

    /** Links open or being opened. */
    val size get() = held + idle.size + opening

    /** Links in use. */
    val inUse get() = held

    /** Callers that wait for a link. */
    val waiting get() = waiters.size

    /** True when a caller gets a link without waiting. */
    val hasIdle get() = idle.isNotEmpty()

    /** Takes a link, waiting at most [patience]; null when none came in time. */
    suspend fun acquire(patience: Duration, urgency: LinkUrgency): Either<OpenError, PooledLink>? {
        takeIdle()?.let { return it.right() }
        val waiter = waiters.add(urgency)
        openForWaiters()
        var result: Either<OpenError, PooledLink>? = null
        try {
            result = withTimeoutOrNull(patience) { waiter.result.await() }
            return result
        } finally {
            if (result == null) abandon(waiter)
        }
    }

    /** Gives [link] back; one whose state is not idle is closed. */
    fun release(link: PooledLink) {
        held--
        if (!link.isOpen || link.state != SessionState.IDLE || isClosed) {
            link.close()
            openForWaiters()
            return
        }
        offer(link)
    }

    /** Closes links that were not used lately, above the floor. */
    fun trim() {
        while (size > floor()) {
            val oldest = idle.firstOrNull() ?: return
            if (oldest.answeredAt.elapsedNow() < idleLimit()) return
            idle.removeFirst().close()
        }
    }

    /** Closes unused links, and used ones when they come back. */
    fun close() {
        isClosed = true
        while (idle.isNotEmpty()) idle.removeFirst().close()
        failWaiters(OpenError.Unreachable("server is gone"))
    }

    /** Closes unused links; their server or the way to it is in doubt. */
    fun dropIdle() {
        while (idle.isNotEmpty()) idle.removeFirst().close()
    }

    private fun takeIdle(): PooledLink? {
        while (idle.isNotEmpty()) {
            val link = idle.removeLast()
            if (link.isOpen) {
                held++
                return link
            }
        }
        return null
    }

    private fun offer(link: PooledLink) {
        if (waiters.give(link)) held++ else idle.addLast(link)
    }

    private fun abandon(waiter: LinkWaiter) {
        waiters.remove(waiter)
        if (waiter.result.isCompleted) waiter.result.getCompleted().onRight(::release)
        waiter.result.cancel()
    }

    private fun openForWaiters() {
        if (isClosed) return failWaiters(OpenError.Unreachable("server is gone"))
        val isFull = fullUntil?.hasPassedNow() == false
        while (!isFull && opening < waiters.size && size < limit()) launchOpen()
        if (size == 0) failWaiters(OpenError.TooMany("no room for a connection"))
    }

    private fun launchOpen() {
        opening++
        scope.launch {
            val result = open()
            opening--
            result.fold(::onOpenFailed, ::onOpened)
        }
    }

    private fun onOpened(link: PooledLink) {
        fullUntil = null
        fullPause = FULL_PAUSE
        if (isClosed) link.close() else offer(link)
    }

    /**
     * While other links are held, a waiter has the hope that one of them comes back. The pauses of
     * many instances before a full server drift apart, and grow as long as it stays full.
     */
    private fun onOpenFailed(error: OpenError) {
        if (error is OpenError.TooMany) {
            fullUntil = time.markNow() + fullPause * random.nextDouble(MIN_JITTER, MAX_JITTER)
            fullPause = minOf(fullPause * 2, LONGEST_FULL_PAUSE)
        }
        val isHopeless = error !is OpenError.TooMany || size == 0
        if (isHopeless) waiters.failNext(error)
    }

    private fun failWaiters(error: OpenError) {
        while (waiters.size > 0) waiters.failNext(error)
    }
}
