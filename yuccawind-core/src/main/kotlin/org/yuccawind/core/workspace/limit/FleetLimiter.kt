package org.yuccawind.core.workspace.limit

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.core.port.DecisionLog
import org.yuccawind.core.time.SuspensionDetector
import org.yuccawind.core.workspace.OperationLimiter
import org.yuccawind.core.workspace.RateLimit
import org.yuccawind.core.workspace.Workspace
import org.yuccawind.core.workspace.WorkspaceName

/** Timeout of a keeper's reply: a round trip between zones and some time of a busy processor. */
private val GRANT_TIMEOUT = 180.milliseconds

/** Keepers asked for one operation. */
private const val MAX_KEEPERS_ASKED = 2

/**
 * Admits operations that the keeper of their workspace grants. Operations that arrive while the
 * keeper is asked are requested together. Confined to the event loop.
 */
class FleetLimiter(
    private val collector: ShareCollector,
    private val peers: LimitPeers,
    private val time: TimeSource.WithComparableMarks,
    private val suspensions: SuspensionDetector,
    private val scope: CoroutineScope,
    private val log: DecisionLog,
    private val watch: LimitWatch
) : OperationLimiter {
    private val desks = HashMap<WorkspaceName, Desk>()
    private var resumedAt = suspensions.resumedAt()

    override suspend fun tryStart(workspace: Workspace): Boolean {
        val limit = workspace.limit ?: return true
        checkSuspension()
        val desk = desks.getOrPut(workspace.name) { Desk(workspace.name) }
        val isAdmitted = desk.purse.tryStart(time.markNow()) ?: desk.ask(limit)
        watch.decided(workspace.name, isAdmitted, time.markNow())
        return isAdmitted
    }

    /** Answers another instance's request for operations. */
    fun answer(message: PeerMessage.OperationsWanted): PeerMessage {
        val workspace = WorkspaceName(message.workspace)
        // An instance that is not listed yet may ask: what is granted leaves the bucket here.
        if (message.count <= 0) {
            log.record(
                "operations_refused",
                "instance" to message.instance,
                "count" to message.count
            )
            return PeerMessage.OperationsGranted(count = 0)
        }
        val granted = collector.take(workspace, message.count)
        val keeper = collector.keeperOf(ShareTerms.shardOf(workspace))
        return PeerMessage.OperationsGranted(granted, keeper)
    }

    private fun checkSuspension() {
        val latest = suspensions.resumedAt()
        if (latest == resumedAt) return
        resumedAt = latest
        desks.values.forEach { it.purse.onSuspension() }
    }

    /** Asks the keeper for [count] operations, and another one if it doesn't grant any. */
    private suspend fun request(workspace: WorkspaceName, count: Int): Grant {
        val shard = ShareTerms.shardOf(workspace)
        var grant = Grant(count = 0, time.markNow(), isAnswered = false)
        var asked = collector.keeperOf(shard) ?: return grant
        repeat(MAX_KEEPERS_ASKED) {
            val sentAt = time.markNow()
            val reply = requestFrom(asked, workspace, count)
            grant = Grant(checked(reply?.count ?: 0, count, asked), sentAt, reply != null)
            if (grant.count > 0) return grant
            val next = if (reply == null) collector.keeperOf(shard) else reply.keeper
            if (next == null || next == asked || !peers.isListed(next)) return grant
            asked = next
        }
        return grant
    }

    private suspend fun requestFrom(
        keeper: String,
        workspace: WorkspaceName,
        count: Int
    ): PeerMessage.OperationsGranted? {
        if (keeper == peers.self) {
            return PeerMessage.OperationsGranted(collector.take(workspace, count), keeper)
        }
        val wanted = PeerMessage.OperationsWanted(peers.self, workspace.value, count)
        return peers.call(keeper, wanted, GRANT_TIMEOUT) as? PeerMessage.OperationsGranted
    }

    private fun checked(granted: Int, wanted: Int, from: String): Int {
        if (granted <= wanted) return granted
        log.record("grant_refused", "instance" to from, "count" to granted, "wanted" to wanted)
        return 0
    }

    /**
     * Reply to a request for operations.
     *
     * @property count number of operations granted
     * @property sentAt time of the request, from which the grant is valid
     * @property isAnswered false if the keeper gave no reply
     */
    private class Grant(val count: Int, val sentAt: ComparableTimeMark, val isAnswered: Boolean)

    /** Operations of one workspace that wait for its keeper. */
    private inner class Desk(private val workspace: WorkspaceName) {
        val purse = OperationPurse(time.markNow())
        private var waiting = ArrayDeque<CompletableDeferred<Boolean>>()
        private var isAsking = false
        private var refusedFor = Duration.ZERO

        suspend fun ask(limit: RateLimit): Boolean {
            refusedFor = OperationPurse.refusedFor(limit, peers.fleet.size)
            val decision = CompletableDeferred<Boolean>()
            waiting.addLast(decision)
            if (!isAsking) scope.launch(start = CoroutineStart.UNDISPATCHED) { askForAll() }
            return decision.await()
        }

        private suspend fun askForAll() {
            isAsking = true
            try {
                do {
                    askForWaiting()
                } while (
                    waiting.isNotEmpty() && !purse.isRefused(time.markNow())
                )
            } finally {
                isAsking = false
                waiting.forEach { it.complete(false) }
                waiting.clear()
            }
        }

        private suspend fun askForWaiting() {
            val round = waiting
            waiting = ArrayDeque()
            try {
                val grant = request(workspace, purse.wanted(round.size))
                checkSuspension()
                val usable = if (grant.sentAt < resumedAt) 0 else grant.count
                val pause = if (grant.isAnswered) refusedFor else Duration.ZERO
                val started =
                    purse.onGrant(usable, round.size, grant.sentAt, time.markNow(), pause)
                repeat(started) { round.removeFirst().complete(true) }
            } finally {
                round.forEach { it.complete(false) }
            }
        }
    }
}
