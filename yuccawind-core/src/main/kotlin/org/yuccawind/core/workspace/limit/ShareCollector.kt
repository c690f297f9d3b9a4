package org.yuccawind.core.workspace.limit

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.core.port.DecisionLog
import org.yuccawind.core.time.SuspensionDetector
import org.yuccawind.core.workspace.RateLimit
import org.yuccawind.core.workspace.WorkspaceName
import org.yuccawind.core.workspace.Workspaces

/** Interval between checks of the keepers. */
private val CHECK_PERIOD = 50.milliseconds

/** Timeout of a reply about a share, which counts from the request and need not come soon. */
private val SHARE_TIMEOUT = 500.milliseconds

/** Interval between lines about one workspace that has reached its limit. */
private val REACHED_LOG_PERIOD = 5.seconds

/** Factor by which another instance's count of the fleet may exceed this one's. */
private const val MAX_SIZE_FACTOR = 4

/**
 * Runs the keepers of this instance and answers for its own share. Confined to the event loop.
 *
 * @param workspaces returns the workspaces of the configuration in force
 * @param granterOf returns the granter for the shares of one keeper
 */
class ShareCollector(
    private val peers: LimitPeers,
    private val own: ShareGiver,
    private val time: TimeSource.WithComparableMarks,
    private val suspensions: SuspensionDetector,
    private val scope: CoroutineScope,
    private val log: DecisionLog,
    private val workspaces: () -> Workspaces,
    granterOf: (HeldShares) -> Granter
) {
    private val keepers =
        List(ShareTerms.SHARDS) { ShareKeeper(peers.self, time.markNow(), granterOf) }
    private var resumedAt = suspensions.resumedAt()
    private var storedSize: Int? = null
    private var isLeaving = false
    private val reachedAt = HashMap<WorkspaceName, ComparableTimeMark>()

    /** Greatest number of instances seen at a time, among which the limits are divided. */
    var fleetSize = 1
        private set

    /** True if the configuration limits any workspace. */
    val isNeeded get() = workspaces().byName.values.any { it.limit != null }

    /** Share of the limits that this instance might grant, summed over time, by shard. */
    val shareSeconds: List<Double> get() = keepers.map { it.shareSeconds }

    /** Sets the fleet's size known from before this process. Nothing is granted until then. */
    fun onStoredSize(size: Int) {
        storedSize = size
        raiseSize(size)
    }

    /** Collects shares until cancelled. */
    suspend fun run() {
        while (true) {
            delay(CHECK_PERIOD)
            if (isNeeded) keepers.indices.forEach(::check)
        }
    }

    /** Gives back all shares and grants no more. */
    fun leave() {
        isLeaving = true
        keepers.indices.forEach { if (keepers[it].isActive) stop(it, "leaving") }
    }

    /** Returns the keeper to ask for [shard], or null if no instance is known that may answer. */
    fun keeperOf(shard: Int): String? {
        val holder = own.keeperOf(shard, time.markNow()) ?: keepers[shard].rival
        return holder?.takeIf { !peers.isSilent(it) && peers.isListed(it) }
            ?: peers.firstFor(shard)
    }

    /** Grants up to [wanted] operations of [workspace], as its keeper. */
    fun take(workspace: WorkspaceName, wanted: Int): Int {
        val limit: RateLimit = workspaces().byName[workspace]?.limit ?: return 0
        checkSuspension()
        val shard = ShareTerms.shardOf(workspace)
        val keeper = keepers[shard]
        val now = time.markNow()
        // An instance that was asked because the keeper was slow does not contend with it.
        val holder = own.keeperOf(shard, now)
        val isFree = holder.isSelfOrNone() || peers.isSilent(checkNotNull(holder))
        if (mayCollect() && isFree) keeper.activate(now)
        val granted = keeper.take(workspace, limit, wanted, now)
        if (granted < wanted && keeper.isActive) logReached(workspace, limit, keeper.held, now)
        return granted
    }

    private fun logReached(
        workspace: WorkspaceName,
        limit: RateLimit,
        held: Double,
        now: ComparableTimeMark
    ) {
        if (reachedAt[workspace]?.let { now - it < REACHED_LOG_PERIOD } == true) return
        reachedAt[workspace] = now
        log.record(
            "limit_reached",
            "workspace" to workspace,
            "per_second" to limit.perSecond,
            "burst" to limit.burst,
            "share" to held
        )
    }

    /** Answers a request for this instance's share. */
    fun answer(message: PeerMessage.ShareWanted): PeerMessage {
        if (!peers.isListed(message.keeper) || message.shard !in keepers.indices) {
            log.record("share_refused", "keeper" to message.keeper, "shard" to message.shard)
            return PeerMessage.ShareHeld(keeper = null)
        }
        onSize(message.fleetSize, message.keeper)
        return when (val reply = own.promise(message.shard, message.keeper, time.markNow())) {
            is ShareReply.Given -> PeerMessage.ShareGiven(reply.serial, fleetSize)
            is ShareReply.HeldBy -> PeerMessage.ShareHeld(reply.keeper)
            ShareReply.NotYet -> PeerMessage.ShareHeld(keeper = null)
        }
    }

    /** Takes back a share that a keeper gives up. */
    fun answer(message: PeerMessage.ShareReleased): PeerMessage {
        if (!own.release(message.shard, message.keeper, message.serial)) {
            log.record(
                "share_release_ignored",
                "keeper" to message.keeper,
                "shard" to message.shard
            )
        }
        return PeerMessage.Done
    }

    /** Drops what was promised before a suspension. */
    private fun checkSuspension() {
        val latest = suspensions.resumedAt()
        if (latest == resumedAt) return
        resumedAt = latest
        keepers.forEach { it.onSuspension(time.markNow()) }
    }

    private fun check(shard: Int) {
        checkSuspension()
        val now = time.markNow()
        val keeper = keepers[shard]
        val isFirst = peers.firstFor(shard) == peers.self
        if (isFirst && mayCollect() && own.keeperOf(shard, now).isSelfOrNone()) keeper.activate(now)
        if (keeper.mustStop(now, isFirst, peers::answers)) stop(shard, "rival ${keeper.rival}")
        if (keeper.isRoundDue(now)) collect(shard)
    }

    private fun mayCollect() = !isLeaving && storedSize != null && peers.fleet.isSettled

    private fun String?.isSelfOrNone() = this == null || this == peers.self

    private fun collect(shard: Int) {
        val keeper = keepers[shard]
        raiseSize(peers.fleet.size)
        val now = time.markNow()
        keeper.onReply(peers.self, own.promise(shard, peers.self, now), now, now)
        peers.others.filter { !peers.isSilent(it) }.forEach { scope.launch { request(shard, it) } }
    }

    private suspend fun request(shard: Int, member: String) {
        val sentAt = time.markNow()
        val wanted = PeerMessage.ShareWanted(peers.self, shard, fleetSize)
        val reply = peers.call(member, wanted, SHARE_TIMEOUT) ?: return
        checkSuspension()
        if (sentAt < resumedAt) return
        val isUsed = when (reply) {
            is PeerMessage.ShareGiven -> {
                // A share of another size than this one's must not be added to them.
                if (!onSize(reply.fleetSize, member)) return
                val given = ShareReply.Given(reply.serial)
                keepers[shard].onReply(member, given, sentAt, time.markNow())
            }

            is PeerMessage.ShareHeld -> {
                val held = reply.keeper?.let { ShareReply.HeldBy(it) } ?: ShareReply.NotYet
                keepers[shard].onReply(member, held, sentAt, time.markNow())
            }

            else -> false
        }
        if (!isUsed) log.record("share_reply_ignored", "instance" to member, "shard" to shard)
        // An active keeper may hold an earlier promise of this instance, which this would end.
        if (reply is PeerMessage.ShareGiven && !keepers[shard].isActive) {
            giveBack(shard, member, reply.serial)
        }
    }

    private fun stop(shard: Int, reason: String) {
        log.record("share_keeper_stopped", "shard" to shard, "reason" to reason)
        val now = time.markNow()
        keepers[shard].stop(now).forEach { (member, serial) -> giveBack(shard, member, serial) }
    }

    private fun giveBack(shard: Int, member: String, serial: Long) {
        if (member == peers.self) {
            own.release(shard, peers.self, serial)
        } else {
            val message = PeerMessage.ShareReleased(peers.self, shard, serial)
            scope.launch { peers.call(member, message, SHARE_TIMEOUT) }
        }
    }

    /** Takes in another instance's count of the fleet. Returns false if it is refused. */
    private fun onSize(size: Int, from: String): Boolean {
        if (size > maxOf(peers.fleet.size, fleetSize) * MAX_SIZE_FACTOR) {
            log.record("fleet_size_refused", "instance" to from, "size" to size)
            return false
        }
        raiseSize(size)
        return true
    }

    private fun raiseSize(size: Int) {
        if (size <= fleetSize) return
        fleetSize = size
        val now = time.markNow()
        keepers.forEach { it.onFleetSize(size, now) }
    }
}
