package org.yuccawind.core.config

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import org.yuccawind.core.membership.Rendezvous
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.port.KeySnapshot
import org.yuccawind.core.service.NodeContext

/** Number of instances per availability zone that watch the platform for changes. */
const val WATCHERS_PER_ZONE = 2

private val RETRY_PERIOD = 250.milliseconds
private val RANK_PERIOD = 500.milliseconds

/**
 * Reads the service records from the platform at startup and then watches them for changes.
 *
 * Only a few instances of each zone, chosen by rendezvous hashing, watch the platform. The others
 * receive changes from their peers through [RecordGossip].
 *
 * @property table receives the records read
 * @property age updated whenever the platform answers
 * @property watchersPerZone number of watching instances per zone
 * @property zoneInstances returns the live instances of this zone, including this one
 */
class ConfigWatcher(
    private val node: NodeContext,
    private val table: RecordTable,
    private val age: RecordAge,
    private val watchersPerZone: Int = WATCHERS_PER_ZONE,
    private val zoneInstances: () -> List<InstanceId>
) {
    private var isWatcher = false

    /** Runs until cancelled; calls [onFirstRead] once the first read is installed. */
    suspend fun run(onFirstRead: () -> Unit) {
        var version = readInitial()
        onFirstRead()
        while (true) {
            version = if (updateRole()) watch(version) else version.also { delay(RANK_PERIOD) }
        }
    }

    private suspend fun readInitial(): Long {
        while (true) {
            val requestedAt = node.time.markNow()
            val snapshot = node.platform.list(SERVICE_PREFIX).getOrNull()
            if (snapshot != null) {
                install(snapshot)
                age.confirm(requestedAt)
                return snapshot.version
            }
            delay(RETRY_PERIOD)
        }
    }

    private suspend fun watch(version: Long): Long {
        val requestedAt = node.time.markNow()
        return node.platform.watch(SERVICE_PREFIX, version).fold(
            { error ->
                node.log.record(
                    "config_watch_failed",
                    "detail" to error.detail,
                    "age_ms" to age.now()?.inWholeMilliseconds
                )
                delay(RETRY_PERIOD)
                version
            },
            { snapshot ->
                install(snapshot)
                age.confirm(requestedAt)
                maxOf(version, snapshot.version)
            }
        )
    }

    private fun updateRole(): Boolean {
        val rank = Rendezvous.rank("config/${node.zone}", node.instance, zoneInstances())
        val watches = rank < watchersPerZone
        if (watches != isWatcher) {
            node.log.record("config_watch", "watches" to watches, "rank" to rank)
        }
        isWatcher = watches
        return watches
    }

    private fun install(snapshot: KeySnapshot) {
        for (stored in snapshot.values) {
            val record = node.format.decodeFromString(ServiceRecord.serializer(), stored.value)
            val service = ServiceName(stored.key.removePrefix(SERVICE_PREFIX))
            table.install(service, record, RecordOrigin.PLATFORM)
        }
    }
}
