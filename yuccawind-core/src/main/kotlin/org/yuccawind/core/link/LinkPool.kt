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
import org.yuccawind.core.workspace.WorkspaceName

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

/**
 * Pool of this instance's connections to one backend server. Confined to the event loop of its
 * group.
 *
 * Connections are opened only while callers wait. A new or released connection goes to the first
 * caller of its workspace in the order of [LinkQueue]. At the limit an idle connection of another
 * workspace is closed for a caller that waits.
 *
 * @param limit maximum number of connections of this instance to the server
 * @param floor number of connections that stay open when idle
 * @param idleLimit idle time after which a connection above the floor may be closed
 * @param answerTime expected time from the acquisition of a link to the server's answer
 * @param random source of the backoff jitter
 */
internal class LinkPool(
    private val scope: CoroutineScope,
    private val time: TimeSource.WithComparableMarks,
    private val limit: () -> Int,
    private val floor: () -> Int,
    private val idleLimit: () -> Duration,
    answerTime: () -> Duration,
    private val random: Random,
    private val open: suspend (WorkspaceName?) -> Either<OpenError, PooledLink>
) {
    private val idle = ArrayDeque<PooledLink>()
    private val waiters = LinkQueue(time, answerTime)
    private var held = 0
    private val openingBy = HashMap<WorkspaceName?, Int>()
    private val opening get() = openingBy.values.sum()
    private var backoffUntil: ComparableTimeMark? = null
    private var openBackoff = INITIAL_OPEN_BACKOFF
    private val isBackingOff get() = backoffUntil?.hasPassedNow() == false
    private var isClosed = false

    /** Number of links that are open or being opened. */
    val size get() = held + idle.size + opening

    /** Number of links in use. */
    val inUse get() = held

    /** Number of callers waiting for a link. */
    val waiting get() = waiters.size

    /** Number of callers waiting for a link whose priority is [priority] or higher. */
    fun waitingUpTo(priority: Int) = waiters.sizeUpTo(priority)

    /** True when a caller can acquire a link without waiting. */
    val hasIdle get() = idle.isNotEmpty()

    /** Acquires a link, waiting at most [timeout]. Returns null on timeout. */
    suspend fun acquire(timeout: Duration, urgency: LinkUrgency): Either<OpenError, PooledLink>? {
        takeIdle(urgency.caller.workspace)?.let { return it.right() }
        val waiter = waiters.add(urgency)
        openForWaiters()
        var result: Either<OpenError, PooledLink>? = null
        try {
            result = withTimeoutOrNull(timeout) { waiter.result.await() }
            return result
        } finally {
            if (result == null) abandon(waiter)
        }
    }

    /** Returns [link] to the pool, or closes it if a transaction is still open on it. */
    fun release(link: PooledLink) {
        held--
        waiters.recordWork(link.workspace, link.acquiredAt.elapsedNow())
        val isUsable = link.isOpen && link.state == SessionState.IDLE && !isClosed
        if (!isUsable || isWantedElsewhere(link)) {
            link.close()
            openForWaiters()
            return
        }
        handOffOrKeep(link)
    }

    /** True if another workspace's caller is to have the place that [link] takes. */
    private fun isWantedElsewhere(link: PooledLink): Boolean {
        val isLastPlace = idle.isEmpty() && size + 1 >= limit() && !isBackingOff
        return isLastPlace && waiters.mustYield(link.workspace, openingBy)
    }

    /** Closes links above the floor that have been idle for longer than the idle limit. */
    fun evictIdle() {
        while (size > floor()) {
            val oldest = idle.firstOrNull() ?: return
            if (oldest.answeredAt.elapsedNow() < idleLimit()) return
            idle.removeFirst().close()
        }
    }

    /** Closes the pool: idle links at once, the others when they are released. */
    fun close() {
        isClosed = true
        while (idle.isNotEmpty()) idle.removeFirst().close()
        failWaiters(OpenError.Unreachable("server was removed from its group"))
    }

    /** Closes all idle links, for use when the server or the network path to it may have failed. */
    fun closeIdle() {
        while (idle.isNotEmpty()) idle.removeFirst().close()
    }

    private fun takeIdle(workspace: WorkspaceName?): PooledLink? {
        while (true) {
            val link = idle.lastOrNull { it.workspace == workspace } ?: return null
            idle.remove(link)
            if (link.isOpen) {
                held++
                link.recordAcquired()
                return link
            }
        }
    }

    private fun handOffOrKeep(link: PooledLink) {
        link.recordAcquired()
        if (waiters.handOff(link)) {
            held++
        } else {
            idle.addLast(link)
            if (waiters.size > 0) openForWaiters()
        }
    }

    private fun abandon(waiter: LinkWaiter) {
        waiters.remove(waiter)
        if (waiter.result.isCompleted) waiter.result.getCompleted().onRight(::release)
        waiter.result.cancel()
    }

    private fun openForWaiters() {
        if (isClosed) return failWaiters(OpenError.Unreachable("server was removed from its group"))
        while (!isBackingOff) {
            val next = waiters.firstWithoutOpening(openingBy) ?: break
            if (size >= limit() && !closeOldestIdle()) break
            launchOpen(next.urgency.caller.workspace)
        }
        if (size == 0) failWaiters(OpenError.TooMany("connection limit reached"))
    }

    private fun closeOldestIdle(): Boolean {
        val oldest = idle.removeFirstOrNull() ?: return false
        oldest.close()
        return true
    }

    private fun launchOpen(workspace: WorkspaceName?) {
        openingBy.merge(workspace, 1, Int::plus)
        scope.launch {
            val result = open(workspace)
            openingBy.merge(workspace, -1, Int::plus)
            result.fold({ onOpenFailed(workspace, it) }, ::onOpened)
        }
    }

    private fun onOpened(link: PooledLink) {
        backoffUntil = null
        openBackoff = INITIAL_OPEN_BACKOFF
        if (isClosed) link.close() else handOffOrKeep(link)
    }

    /**
     * When the server is full, backs off with jitter, so that many instances do not retry at the
     * same time, and exponentially for as long as it stays full. Waiting callers keep waiting
     * while other links are in use, since one of these may be released.
     */
    private fun onOpenFailed(workspace: WorkspaceName?, error: OpenError) {
        if (error is OpenError.TooMany) {
            backoffUntil = time.markNow() + openBackoff * random.nextDouble(MIN_JITTER, MAX_JITTER)
            openBackoff = minOf(openBackoff * 2, MAX_OPEN_BACKOFF)
        }
        val shouldFailWaiter = error !is OpenError.TooMany || size == 0
        if (shouldFailWaiter) waiters.failNextOf(workspace, error)
    }

    private fun failWaiters(error: OpenError) {
        while (waiters.size > 0) waiters.failNext(error)
    }
}
