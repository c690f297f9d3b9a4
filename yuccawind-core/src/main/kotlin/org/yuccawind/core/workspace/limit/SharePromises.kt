package org.yuccawind.core.workspace.limit

import kotlin.time.ComparableTimeMark

/**
 * Promises of one instance: for each shard of the workspaces, the one keeper that may count this
 * instance's share of the limits, and until when. Nothing is promised to a second keeper before
 * the first one's time is over or it has given the promise back.
 *
 * @param startedAt start of this process; a former process may have promised until one
 *   [ShareTerms.TERM] later
 * @param firstSerial where the serial numbers begin; differs from that of a former process
 */
class SharePromises(private val startedAt: ComparableTimeMark, firstSerial: Long) : ShareGiver {
    private val held = HashMap<Int, Promise>()
    private var lastSerial = firstSerial

    override fun promise(shard: Int, keeper: String, now: ComparableTimeMark): ShareReply {
        if (now - startedAt < ShareTerms.TERM) return ShareReply.NotYet
        val current = held[shard]
        if (current != null && current.keeper != keeper && now < current.until) {
            return ShareReply.HeldBy(current.keeper)
        }
        held[shard] = Promise(keeper, ++lastSerial, now + ShareTerms.TERM)
        return ShareReply.Given(lastSerial)
    }

    override fun release(shard: Int, keeper: String, serial: Long): Boolean {
        val current = held[shard] ?: return false
        if (current.keeper != keeper || current.serial != serial) return false
        held.remove(shard)
        return true
    }

    override fun keeperOf(shard: Int, now: ComparableTimeMark): String? =
        held[shard]?.takeIf { now < it.until }?.keeper

    private class Promise(val keeper: String, val serial: Long, val until: ComparableTimeMark)
}
