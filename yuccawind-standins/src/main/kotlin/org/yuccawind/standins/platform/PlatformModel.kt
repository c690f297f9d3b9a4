package org.yuccawind.standins.platform

import java.util.TreeMap
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.port.InstanceEntry
import org.yuccawind.core.port.KeySnapshot
import org.yuccawind.core.port.StoredValue
import org.yuccawind.core.wire.SwapCall
import org.yuccawind.core.wire.SwapReply

private val WATCH_LIMIT = 10_000.milliseconds

/**
 * The platform stand-in: keys with versions, watches, a lagging list of instances and faults.
 *
 * The same class runs behind HTTP and, under virtual time, inside tests.
 */
class PlatformModel(private val time: TimeSource.WithComparableMarks) {
    private val lock = ReentrantLock()
    private val values = TreeMap<String, StoredValue>()
    private val removals = ArrayList<Removal>()
    private val version = MutableStateFlow(0L)
    private val faults = MutableStateFlow(PlatformFaults())
    private val listed = InstanceList(time)

    /** Counts of calls since the start. */
    val counts = PlatformCounts()

    /** Sets the fault switches. */
    fun inject(next: PlatformFaults) {
        faults.value = next
    }

    /** Passes an outage or a slow spell; false when the call must fail without effect. */
    suspend fun admit(zone: String): Boolean {
        val now = faults.value
        if (zone in now.cutZones) awaitCancellation()
        delay(now.slowMs.milliseconds)
        return !faults.value.isOut
    }

    /** Reads one key. */
    fun get(key: String): StoredValue? = lock.withLock {
        counts.reads.increment()
        values[key]
    }

    /** Reads every key under [prefix]. */
    fun list(prefix: String): KeySnapshot = lock.withLock {
        counts.reads.increment()
        snapshot(prefix)
    }

    /** Writes if the version fits; waits for good when the reply is to be lost. */
    suspend fun swap(call: SwapCall): SwapReply {
        val reply = lock.withLock { swapNow(call) }
        if (reply.swapped && loseThisReply()) awaitCancellation()
        return reply
    }

    /** Waits for a change under [prefix] after [after], for ten seconds at most. */
    suspend fun watch(prefix: String, after: Long): KeySnapshot {
        counts.watches.increment()
        withTimeoutOrNull(WATCH_LIMIT) {
            version.first { _ -> lock.withLock { values(prefix).any { it.version > after } } }
        }
        return lock.withLock { snapshot(prefix) }
    }

    /** Makes [change] if all its conditions hold; the version, or null when one does not. */
    suspend fun change(change: KeyChange): Long? {
        val made = lock.withLock { changeNow(change) }
        if (made != null && loseThisReply()) awaitCancellation()
        return made
    }

    /** Waits at most [wait] for changes under [prefix] after [after]. */
    suspend fun changesAfter(prefix: String, after: Long, wait: Duration): KeyChanges {
        counts.watches.increment()
        withTimeoutOrNull(wait) { version.first { changes(prefix, after).isAny } }
        return changes(prefix, after)
    }

    /** Sets the true list of instances; readers see it after the lag. */
    fun setInstances(entries: List<InstanceEntry>) = listed.set(entries)

    /** The list of instances as it was [PlatformFaults.listLagMs] ago. */
    fun instances(): List<InstanceEntry> {
        counts.reads.increment()
        return listed.get(faults.value.listLagMs.milliseconds)
    }

    private fun swapNow(call: SwapCall): SwapReply {
        counts.writes.increment()
        val current = values[call.key]
        if ((current?.version ?: 0) != call.expected) return SwapReply(false, current = current)
        val next = version.value + 1
        values[call.key] = StoredValue(call.key, call.value, next)
        version.value = next
        return SwapReply(true, next)
    }

    private fun changeNow(change: KeyChange): Long? {
        counts.writes.increment()
        val isMet = change.expected.all { (key, wanted) -> (values[key]?.version ?: 0) == wanted }
        if (!isMet) return null
        val next = version.value + 1
        for ((key, value) in change.puts) values[key] = StoredValue(key, value, next)
        for (key in change.deletes) if (values.remove(key) != null) removals += Removal(key, next)
        version.value = next
        return next
    }

    private fun changes(prefix: String, after: Long) = lock.withLock {
        KeyChanges(
            version = version.value,
            written = values(prefix).filter { it.version > after },
            deleted = removals.filter { it.version > after && it.key.startsWith(prefix) }
                .map { it.key }
        )
    }

    private class Removal(val key: String, val version: Long)

    private fun loseThisReply(): Boolean {
        if (faults.value.loseReplies <= 0) return false
        faults.update { it.copy(loseReplies = it.loseReplies - 1) }
        return true
    }

    private fun values(prefix: String) =
        values.tailMap(prefix).values.takeWhile { it.key.startsWith(prefix) }

    private fun snapshot(prefix: String) = KeySnapshot(version.value, values(prefix))
}
