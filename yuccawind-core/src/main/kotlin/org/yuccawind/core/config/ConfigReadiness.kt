package org.yuccawind.core.config

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.yuccawind.core.port.InstanceEntry

/** Number of peers with which a starting instance synchronizes its records. */
const val STARTUP_PEERS = 2

private val PEER_TIMEOUT = 2_000.milliseconds

/**
 * Decides when a starting instance has current records and may serve requests.
 *
 * The instance needs the platform's records and must have synchronized with [STARTUP_PEERS] peers.
 * Peers that do not answer delay readiness by [PEER_TIMEOUT] at most. If the platform is
 * unavailable, synchronizing with [STARTUP_PEERS] peers is sufficient.
 *
 * @property records exchanges records with peers
 * @property time clock
 * @property members returns the other instances
 */
class ConfigReadiness(
    private val records: RecordGossip,
    private val time: TimeSource.WithComparableMarks,
    private val members: () -> List<InstanceEntry>
) {
    @Volatile
    private var platformReadAt: ComparableTimeMark? = null

    @Volatile
    private var wasComplete = false

    /** Records that the platform's records have been installed. */
    fun onPlatformRead() {
        platformReadAt = time.markNow()
    }

    /** True once this instance may report ready; never becomes false again. */
    val isComplete: Boolean
        get() {
            if (!wasComplete) wasComplete = check()
            return wasComplete
        }

    private fun check(): Boolean {
        val readAt = platformReadAt ?: return records.syncedPeers >= STARTUP_PEERS
        // An empty member list may not have been read yet, so at least one peer is required.
        val required = minOf(STARTUP_PEERS, members().size).coerceAtLeast(1)
        return records.syncedPeers >= required || readAt.elapsedNow() > PEER_TIMEOUT
    }
}
