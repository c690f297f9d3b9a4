package org.yuccawind.proxy.operator

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import java.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.yuccawind.config.Deployment
import org.yuccawind.core.config.ConfigChange
import org.yuccawind.core.config.ConfigStore
import org.yuccawind.core.config.GroupChange
import org.yuccawind.core.config.RecordAge
import org.yuccawind.core.config.RecordTable
import org.yuccawind.core.config.SERVICE_PREFIX
import org.yuccawind.core.config.ServiceConfig
import org.yuccawind.core.config.ServiceRecord
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.core.peer.ServiceRevision
import org.yuccawind.core.port.InstanceEntry
import org.yuccawind.core.port.PeerClient
import org.yuccawind.core.result.Refusal
import org.yuccawind.core.result.ResultCode
import org.yuccawind.core.service.NodeContext
import org.yuccawind.core.wire.ApplyCall
import org.yuccawind.core.wire.ApplyView
import org.yuccawind.core.wire.ConfigView
import org.yuccawind.core.wire.HistoryEntry
import org.yuccawind.core.wire.HistoryView
import org.yuccawind.core.wire.RecordView
import org.yuccawind.core.wire.RolloutCall
import org.yuccawind.core.wire.RolloutView

private val APPLY_TIMEOUT = 6_000.milliseconds

/**
 * Applies configuration changes for operators and shows the configuration.
 *
 * @property table records of this instance
 * @property recordAge age of those records
 * @property peers client for calls to other instances
 * @property members returns the other instances
 */
internal class ConfigAdmin(
    private val node: NodeContext,
    private val table: RecordTable,
    private val recordAge: RecordAge,
    private val peers: PeerClient,
    private val members: () -> List<InstanceEntry>
) {
    private val store = ConfigStore(node.platform, node.format, node.log)
    private val clock = Clock.systemUTC()

    /** Returns the platform's records, or those of this instance if the platform is unavailable. */
    suspend fun show(): ConfigView {
        val platform = platformRecords().getOrNull()
        val ageMs = if (platform != null) 0 else recordAge.now()?.inWholeMilliseconds
        val records = platform ?: table.records()
        val views = records.entries.sortedBy { it.key.value }.map { view(it.key, it.value) }
        return ConfigView(node.instance, totalRevision(records), ageMs, views)
    }

    /** Returns the accepted changes of all services, newest first. */
    suspend fun history(): HistoryView {
        val records = platformRecords().getOrNull() ?: table.records()
        val lines = records.flatMap { (service, record) ->
            (listOf(record.toAcceptedChange()) + record.history).map {
                HistoryEntry(service, it.revision, it.author, it.changedAtEpochMs, it.digest)
            }
        }
        return HistoryView(lines.sortedByDescending { it.changedAtEpochMs })
    }

    /**
     * Applies the changes in [call] one service at a time and stops at the first refusal; changes
     * applied before it are kept.
     */
    suspend fun apply(call: ApplyCall): Either<Refusal, ApplyView> = either {
        val deployment = Deployment(call.services)
        val faults = deployment.faults()
        ensure(faults.isEmpty()) {
            Refusal(ResultCode.CONFIG_INVALID, faults.joinToString("; "))
        }
        val current = platformRecords().bind()
        val changes = changes(call, deployment.sorted(), current)
        checkExpectedRevision(call, changes, current).bind()
        changes.mapNotNull { GroupChange.refusal(current[it.service]?.config, it.config) }
            .firstOrNull()?.let { raise(it) }
        val deadline = node.time.markNow() + APPLY_TIMEOUT
        val accepted = changes.map {
            ServiceRevision(it.service, store.apply(it, deadline).bind().revision)
        }
        val previous = accepted.sumOf { current[it.service]?.revision ?: 0 }
        val total = totalRevision(current) - previous + accepted.sumOf { it.revision }
        ApplyView(accepted, total)
    }

    /** Asks every instance for its revisions in force and reports those behind [call] or silent. */
    suspend fun rolloutStatus(call: RolloutCall): RolloutView = coroutineScope {
        val expected = call.revisions.associate { it.service to it.revision }
        val others = members()
        val replies = others.map { async { it.name to revisionsOf(it, expected.keys) } }.awaitAll()
        val own = expected.keys.associateWith { table.records()[it]?.revision ?: 0 }
        val all = replies + (node.instance.value to own)
        val silent = all.filter { it.second == null }.map { it.first }
        val behind = all.filter { (_, revisions) ->
            revisions != null && expected.any { (revisions[it.key] ?: 0) < it.value }
        }
        RolloutView(all.size, behind.map { it.first }.sorted(), silent.sorted())
    }

    private suspend fun revisionsOf(
        peer: InstanceEntry,
        services: Set<ServiceName>
    ): Map<ServiceName, Long>? {
        val message = PeerMessage.RevisionsWanted(services.toList())
        val reply = peers.call(peer.peerAddress, message).getOrNull()
        return (reply as? PeerMessage.RecordRevisions)
            ?.revisions?.associate { it.service to it.revision }
    }

    private fun changes(
        call: ApplyCall,
        deployment: Deployment,
        current: Map<ServiceName, ServiceRecord>
    ): List<ConfigChange> {
        val changed = deployment.services
            .filter { isChanged(call, current[it.name], it.name, it) }
            .map { change(call, it.name, it, current) }
        val deleted = call.deleted
            .filter { it in current && isChanged(call, current[it], it, null) }
            .map { change(call, it, null, current) }
        return (changed + deleted).sortedBy { it.service.value }
    }

    /** Includes changes made by an earlier attempt, so that a retry gets the same reply. */
    private fun isChanged(
        call: ApplyCall,
        record: ServiceRecord?,
        service: ServiceName,
        config: ServiceConfig?
    ) = record == null || record.config != config ||
        record.findChange(nonceOf(call, service)) != null

    private fun change(
        call: ApplyCall,
        service: ServiceName,
        config: ServiceConfig?,
        current: Map<ServiceName, ServiceRecord>
    ) = ConfigChange(
        service,
        current[service]?.revision ?: 0,
        config,
        call.author,
        nonceOf(call, service),
        clock.millis()
    )

    private fun checkExpectedRevision(
        call: ApplyCall,
        changes: List<ConfigChange>,
        current: Map<ServiceName, ServiceRecord>
    ): Either<Refusal, Unit> {
        val revision = totalRevision(current)
        val isRepeated = changes.any { current[it.service]?.findChange(it.nonce) != null }
        if (call.revision == null || call.revision == revision || isRepeated) return Unit.right()
        val detail = "made on revision ${call.revision}, the platform holds $revision"
        return Refusal(ResultCode.CONFIG_CONFLICT, detail).left()
    }

    private suspend fun platformRecords(): Either<Refusal, Map<ServiceName, ServiceRecord>> =
        node.platform.list(SERVICE_PREFIX).fold(
            { Refusal(ResultCode.PLATFORM_UNAVAILABLE, it.detail).left() },
            { snapshot ->
                snapshot.values.associate { stored ->
                    ServiceName(stored.key.removePrefix(SERVICE_PREFIX)) to store.decode(stored)
                }.right()
            }
        )

    private fun view(service: ServiceName, record: ServiceRecord) = RecordView(
        service,
        record.revision,
        record.author,
        record.changedAtEpochMs,
        record.digest,
        record.config
    )

    private fun nonceOf(call: ApplyCall, service: ServiceName) = "${call.nonce}/$service"

    private fun totalRevision(records: Map<ServiceName, ServiceRecord>) =
        records.values.sumOf { it.revision }
}
