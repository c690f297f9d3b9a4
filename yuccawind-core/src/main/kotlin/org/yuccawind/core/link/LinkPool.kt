package org.yuccawind.core.link

import arrow.core.Either
import arrow.core.right
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.statement.SessionState
import org.yuccawind.core.workspace.WorkspaceName

/**
 * Waiting time after which a caller whose workspace has no connection here gets the next place,
 * ahead of callers whose workspace has one.
 */
internal val FAIR_WAIT = 200.milliseconds

/**
 * Pool of this instance's connections to one backend server. Confined to the event loop of its
 * group.
 *
 * Connections are opened only while callers wait. A new or released connection goes to the first
 * caller of its workspace in the order of [LinkQueue]. Where room is short a connection of one
 * workspace gives way to a caller of another.
 *
 * The proxy's own connections have no workspace. They are counted, opened and closed apart from
 * those of workspaces.
 *
 * @param budget this instance's part of the server's connections
 * @param answerTime expected time from the acquisition of a link to the server's answer
 * @param random source of the backoff jitter
 */
internal class LinkPool(
    private val scope: CoroutineScope,
    private val time: TimeSource.WithComparableMarks,
    private val budget: () -> LinkBudget,
    answerTime: () -> Duration,
    random: Random,
    private val open: suspend (WorkspaceName?) -> Either<OpenError, PooledLink>
) {
    private val arrivals = WorkspaceArrivals(time)
    private val resting = RestingLinks(arrivals::rateOf)
    private val turns = WorkspaceTurns()
    private val waiters = LinkQueue(time, answerTime)
    private val heldBy = HashMap<WorkspaceName?, Int>()
    private val openingBy = HashMap<WorkspaceName?, Int>()
    private val ownBackoff = OpenBackoff(time, random)
    private val workspaceBackoff = OpenBackoff(time, random)
    private var retry: Job? = null
    private var retryAt: ComparableTimeMark? = null
    private var isClosed = false

    private val ownSize get() = (heldBy[null] ?: 0) + resting.own + (openingBy[null] ?: 0)

    /** Number of links that are open or being opened. */
    val size get() = inUse + resting.size + openingBy.values.sum()

    /** Number of links in use. */
    val inUse get() = heldBy.values.sum()

    /** Number of callers waiting for a link. */
    val waiting get() = waiters.size

    /** Number of waiting callers that may be served before a new one with [urgency]. */
    fun waitingBefore(urgency: LinkUrgency) = waiters.sizeBefore(urgency)

    /** True when a link rests that some caller can acquire without waiting. */
    val hasIdle get() = resting.size > 0

    /** Number of links of each workspace, open or being opened. Null stands for none. */
    val sizeByWorkspace: Map<WorkspaceName?, Int>
        get() = (heldBy.keys + openingBy.keys + resting.workspaces).associateWith(::sizeOf)
            .filterValues { it > 0 }

    /** Acquires a link, waiting at most [timeout]. Returns null on timeout. */
    suspend fun acquire(timeout: Duration, urgency: LinkUrgency): Either<OpenError, PooledLink>? {
        val workspace = urgency.caller.workspace
        arrivals.record(workspace)
        resting.take(workspace)?.let {
            heldBy.merge(workspace, 1, Int::plus)
            it.recordAcquired()
            return it.right()
        }
        if (timeout <= Duration.ZERO) return null
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
        val isReusable = link.isOpen && link.state == SessionState.IDLE && !isClosed
        val starved = if (isReusable) starvedBy(link.workspace) else null
        heldBy.merge(link.workspace, -1, Int::plus)
        waiters.recordWork(link.workspace, link.acquiredAt.elapsedNow())
        when {
            !isReusable -> {
                link.close()
                openForWaiters()
            }

            starved != null -> {
                link.close()
                launchOpen(starved.urgency.caller.workspace)
            }

            isWantedElsewhere(link) -> {
                link.close()
                openForWaiters()
            }

            else -> handOffOrKeep(link)
        }
    }

    /** True if another workspace's caller is to have the place that [link] takes. */
    private fun isWantedElsewhere(link: PooledLink): Boolean {
        if (link.workspace == null || resting.ofWorkspaces > 0) return false
        val current = budget()
        val isLastPlace = size + 1 >= current.maxConnections ||
            size + 1 - ownSize >= current.workspaceLimit
        return isLastPlace &&
            waiters.mustYield(link.workspace, openingBy) { !backoffOf(it).isActive }
    }

    /** Closes links that have been idle for longer than the budget allows. */
    fun evictIdle() {
        val current = budget()
        val ownTime =
            current.ownIdleTime(arrivals.rateOf(null), ownBackoff.isServerFull)
        while (ownSize > current.ownFloor) {
            val oldest = resting.oldestOwn ?: break
            if (oldest.answeredAt.elapsedNow() < ownTime) break
            resting.remove(oldest)?.close()
        }
        if (resting.ofWorkspaces == 0) return
        val workspaceTime =
            current.workspaceIdleTime(arrivals.rates(), workspaceBackoff.isServerFull)
        while (true) {
            val oldest = resting.oldestOfWorkspaces ?: break
            if (oldest.answeredAt.elapsedNow() < workspaceTime) break
            resting.remove(oldest)?.close()
        }
        limitResting()
    }

    /** Closes the pool: idle links at once, the others when they are released. */
    fun close() {
        isClosed = true
        resting.closeAll()
        failWaiters(OpenError.Unreachable("server was removed from its group"))
    }

    /** Closes all idle links, for use when the server or the network path to it may have failed. */
    fun closeIdle() = resting.closeAll()

    private fun sizeOf(workspace: WorkspaceName?) = (heldBy[workspace] ?: 0) +
        (openingBy[workspace] ?: 0) + resting.count(workspace)

    /**
     * Returns a caller to which a link of [workspace] gives way: the proxy itself at once, a
     * workspace without any link here after [FAIR_WAIT], in turn. Null while places are free.
     */
    private fun starvedBy(workspace: WorkspaceName?): LinkWaiter? {
        if (workspace == null || waiters.size == 0) return null
        return nextInTurn { it != workspace && isFull(it) }
    }

    /**
     * Returns the caller whose turn it is among the workspaces without any link here that
     * [accepts]: the proxy itself first, then those that have waited for [FAIR_WAIT]. Null if there
     * is none.
     */
    private fun nextInTurn(accepts: (WorkspaceName?) -> Boolean): LinkWaiter? {
        val own = waiters.oldestOf(null)
        if (own != null && accepts(null) && sizeOf(null) == 0) return own
        return waiters.oldestOfEach(FAIR_WAIT)
            .filter {
                val workspace = it.urgency.caller.workspace
                workspace != null && accepts(workspace) && sizeOf(workspace) == 0
            }
            .minByOrNull { turns.lastTurnOf(it.urgency.caller.workspace) }
    }

    /** Returns true if no connection may be opened for [workspace] now. */
    private fun isFull(workspace: WorkspaceName?): Boolean {
        val current = budget()
        val isAtLimit = size >= current.maxConnections ||
            (workspace != null && size - ownSize >= current.workspaceLimit)
        return isAtLimit || backoffOf(workspace).isActive
    }

    private fun backoffOf(workspace: WorkspaceName?) =
        if (workspace == null) ownBackoff else workspaceBackoff

    private fun handOffOrKeep(link: PooledLink) {
        link.recordAcquired()
        if (waiters.handOff(link)) {
            turns.record(link.workspace)
            heldBy.merge(link.workspace, 1, Int::plus)
            return
        }
        resting.add(link)
        if (link.workspace != null) limitResting()
        if (waiters.size > 0) openForWaiters()
    }

    /** Closes the least useful idle links above the number that the budget allows. */
    private fun limitResting() {
        val most = budget().maxIdleForWorkspaces(workspaceBackoff.isServerFull)
        while (resting.ofWorkspaces > most) resting.takeLeastUseful()?.close()
    }

    private fun abandon(waiter: LinkWaiter) {
        waiters.remove(waiter)
        if (waiter.result.isCompleted) waiter.result.getCompleted().onRight(::release)
        waiter.result.cancel()
    }

    private fun openForWaiters() {
        if (isClosed) return failWaiters(OpenError.Unreachable("server was removed from its group"))
        openFor { it == null }
        openFor { it != null }
        if (size == 0) failWaiters(OpenError.TooMany("connection limit reached"))
        if (waiters.size > 0) scheduleRetry()
    }

    private fun openFor(accepts: (WorkspaceName?) -> Boolean) {
        while (true) {
            val next = nextInTurn(accepts)
                ?: waiters.firstWithoutOpening(openingBy, accepts) ?: return
            val workspace = next.urgency.caller.workspace
            if (isFull(workspace) && !closeOneFor(workspace)) return
            launchOpen(workspace)
        }
    }

    /** Closes an idle link in favour of a caller of [workspace]. Returns false if there is none. */
    private fun closeOneFor(workspace: WorkspaceName?): Boolean {
        val current = budget()
        val hasSurplusOwn = workspace != null && ownSize > current.ownReserve &&
            size - ownSize < current.workspaceLimit
        val link = resting.takeLeastUseful()
            ?: (if (hasSurplusOwn) resting.takeOldestOwn() else null)
        link?.close()
        return link != null
    }

    /** Tries again after the backoff, when no other event may do so. */
    private fun scheduleRetry() {
        val wait = listOf(ownBackoff, workspaceBackoff).filter { it.isActive }
            .minOfOrNull { it.remaining } ?: return
        val dueAt = time.markNow() + wait
        if (retry?.isActive == true && retryAt?.let { it <= dueAt } == true) return
        retry?.cancel()
        retryAt = dueAt
        retry = scope.launch {
            delay(wait + 1.milliseconds)
            retry = null
            openForWaiters()
        }
    }

    private fun launchOpen(workspace: WorkspaceName?) {
        openingBy.merge(workspace, 1, Int::plus)
        scope.launch {
            val result = try {
                open(workspace)
            } finally {
                openingBy.merge(workspace, -1, Int::plus)
            }
            result.fold({ onOpenFailed(workspace, it) }, ::onOpened)
        }
    }

    private fun onOpened(link: PooledLink) {
        backoffOf(link.workspace).onOpened()
        if (isClosed) link.close() else handOffOrKeep(link)
    }

    /**
     * When the server is full, closes the idle links of workspaces, which makes room for another
     * attempt at once, and backs off if there are none. Waiting callers keep waiting while other
     * links are in use, since one of these may be released.
     */
    private fun onOpenFailed(workspace: WorkspaceName?, error: OpenError) {
        if (error is OpenError.TooMany) {
            val hasMadeRoom = resting.ofWorkspaces > 0
            while (resting.ofWorkspaces > 0) resting.takeLeastUseful()?.close()
            backoffOf(workspace).onRefused(retryAtOnce = hasMadeRoom)
        }
        val shouldFailWaiter = error !is OpenError.TooMany || size == 0
        if (shouldFailWaiter) waiters.failNextOf(workspace, error)
        if (waiters.size > 0) openForWaiters()
    }

    private fun failWaiters(error: OpenError) {
        while (waiters.size > 0) waiters.failNext(error)
    }
}
