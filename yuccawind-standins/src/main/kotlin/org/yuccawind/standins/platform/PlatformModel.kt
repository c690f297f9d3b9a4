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

private val MAX_WATCH_TIME = 10_000.milliseconds

/**
 * The platform stand-in: a versioned key-value store with watches, a list of instances that may be
 * stale, and fault injection.
 *
 * The same class serves HTTP and runs in tests under virtual time.
 */
class PlatformModel(private val time: TimeSource.WithComparableMarks) {
    private val lock = ReentrantLock()
    private val values = TreeMap<String, StoredValue>()
    private val deletions = ArrayList<Deletion>()
    private val version = MutableStateFlow(0L)
    private val faults = MutableStateFlow(PlatformFaults())
    private val instanceList = InstanceList(time)

    /** Version of the newest change. */
    val currentVersion: Long get() = version.value

    /** Counts of calls since the start. */
    val counts = PlatformCounts()

    /** Replaces the injected faults by [next]. */
    fun inject(next: PlatformFaults) {
        faults.value = next
    }

    /**
     * Applies the injected faults to a call from [zone]: suspends indefinitely if the zone is cut
     * off, otherwise waits for the injected delay. Returns false if the call must fail without
     * effect because of an outage.
     */
    suspend fun applyFaults(zone: String): Boolean {
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

    /** Writes if the expected version matches; never returns if the reply is to be lost. */
    suspend fun swap(call: SwapCall): SwapReply {
        val reply = lock.withLock { swapLocked(call) }
        if (reply.swapped && consumeReplyLoss()) awaitCancellation()
        return reply
    }

    /** Waits up to ten seconds for a change under [prefix] later than version [after]. */
    suspend fun watch(prefix: String, after: Long): KeySnapshot {
        counts.watches.increment()
        withTimeoutOrNull(MAX_WATCH_TIME) {
            version.first { _ -> lock.withLock { values(prefix).any { it.version > after } } }
        }
        return lock.withLock { snapshot(prefix) }
    }

    /**
     * Applies [change] if every key has its expected version. Returns the new version, or null on a
     * conflict; never returns if the reply is to be lost.
     */
    suspend fun change(change: KeyChange): Long? {
        val newVersion = lock.withLock { changeLocked(change) }
        if (newVersion != null && consumeReplyLoss()) awaitCancellation()
        return newVersion
    }

    /** Waits up to [wait] for changes under [prefix] later than version [after]. */
    suspend fun changesAfter(prefix: String, after: Long, wait: Duration): KeyChanges {
        counts.watches.increment()
        withTimeoutOrNull(wait) { version.first { changes(prefix, after).hasChanges } }
        return changes(prefix, after)
    }

    /** Returns a copy of all keys, for [restore]. */
    fun backUp(): PlatformBackup = lock.withLock {
        PlatformBackup(version.value, values.toMap(), deletions.toList())
    }

    /** Replaces all keys by those in [backup]. Later versions are given out again. */
    fun restore(backup: PlatformBackup) = lock.withLock {
        values.clear()
        values.putAll(backup.values)
        deletions.clear()
        deletions += backup.deletions
        version.value = backup.version
    }

    /** Sets the current list of instances; readers see it after the injected lag. */
    fun setInstances(entries: List<InstanceEntry>) = instanceList.set(entries)

    /** Returns the list of instances as it was [PlatformFaults.listLagMs] ago. */
    fun instances(): List<InstanceEntry> {
        counts.reads.increment()
        return instanceList.get(faults.value.listLagMs.milliseconds)
    }

    private fun swapLocked(call: SwapCall): SwapReply {
        counts.writes.increment()
        val current = values[call.key]
        if ((current?.version ?: 0) != call.expected) return SwapReply(false, current = current)
        val next = version.value + 1
        values[call.key] = StoredValue(call.key, call.value, next)
        version.value = next
        return SwapReply(true, next)
    }

    private fun changeLocked(change: KeyChange): Long? {
        counts.writes.increment()
        val hasExpectedVersions = change.expected.all { (key, expected) ->
            (values[key]?.version ?: 0) == expected
        }
        if (!hasExpectedVersions) return null
        val next = version.value + 1
        for ((key, value) in change.puts) values[key] = StoredValue(key, value, next)
        for (key in change.deletes) if (values.remove(key) != null) deletions += Deletion(key, next)
        version.value = next
        return next
    }

    private fun changes(prefix: String, after: Long) = lock.withLock {
        KeyChanges(
            version = version.value,
            written = values(prefix).filter { it.version > after },
            deleted = deletions.filter { it.version > after && it.key.startsWith(prefix) }
                .map { it.key }
        )
    }

    private fun consumeReplyLoss(): Boolean {
        if (faults.value.loseReplies <= 0) return false
        faults.update { it.copy(loseReplies = it.loseReplies - 1) }
        return true
    }

    private fun values(prefix: String) =
        values.tailMap(prefix).values.takeWhile { it.key.startsWith(prefix) }

    private fun snapshot(prefix: String) = KeySnapshot(version.value, values(prefix))
}
