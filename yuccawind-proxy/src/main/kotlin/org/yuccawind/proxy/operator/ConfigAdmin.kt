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

private val APPLY_LIMIT = 6_000.milliseconds

/**
 * Accepts and shows configuration for operators.
 *
 * @property table the records of this instance
 * @property age how fresh they are
 * @property peers the way to other instances
 * @property members other instances
 */
internal class ConfigAdmin(
    private val node: NodeContext,
    private val table: RecordTable,
    private val age: RecordAge,
    private val peers: PeerClient,
    private val members: () -> List<InstanceEntry>
) {
    private val store = ConfigStore(node.platform, node.format, node.log)
    private val clock = Clock.systemUTC()

    /** The records of the platform or, while it does not answer, those of this instance. */
    suspend fun show(): ConfigView {
        val platform = platformRecords().getOrNull()
        val ageMs = if (platform != null) 0 else age.now()?.inWholeMilliseconds
        val records = platform ?: table.records()
        val views = records.entries.sortedBy { it.key.value }.map { view(it.key, it.value) }
        return ConfigView(node.instance, revisionOf(records), ageMs, views)
    }

    /** Accepted changes of all services, newest first. */
    suspend fun history(): HistoryView {
        val records = platformRecords().getOrNull() ?: table.records()
        val lines = records.flatMap { (service, record) ->
            (listOf(record.toAcceptedChange()) + record.history).map {
                HistoryEntry(service, it.revision, it.author, it.changedAtEpochMs, it.digest)
            }
        }
        return HistoryView(lines.sortedByDescending { it.changedAtEpochMs })
    }

    /** Accepts the changes of [call], one service after the other, until one is refused. */
    suspend fun apply(call: ApplyCall): Either<Refusal, ApplyView> = either {
        val wanted = Deployment(call.services)
        val faults = wanted.errors()
        ensure(faults.isEmpty()) {
            Refusal(ResultCode.CONFIG_INVALID, faults.joinToString("; "))
        }
        val current = platformRecords().bind()
        val changes = changes(call, wanted.sorted(), current)
        checkRevision(call, changes, current).bind()
        changes.mapNotNull { GroupChange.refusal(current[it.service]?.config, it.config) }
            .firstOrNull()?.let { raise(it) }
        val deadline = node.time.markNow() + APPLY_LIMIT
        val accepted = changes.map {
            ServiceRevision(it.service, store.apply(it, deadline).bind().revision)
        }
        val before = accepted.sumOf { current[it.service]?.revision ?: 0 }
        val after = revisionOf(current) - before + accepted.sumOf { it.revision }
        ApplyView(accepted, after)
    }

    /** Asks every instance which revisions it has in force. */
    suspend fun spread(call: RolloutCall): RolloutView = coroutineScope {
        val wanted = call.revisions.associate { it.service to it.revision }
        val others = members()
        val replies = others.map { async { it.name to revisionsOf(it, wanted.keys) } }.awaitAll()
        val own = wanted.keys.associateWith { table.records()[it]?.revision ?: 0 }
        val all = replies + (node.instance.value to own)
        val silent = all.filter { it.second == null }.map { it.first }
        val behind = all.filter { (_, known) ->
            known != null && wanted.any { (known[it.key] ?: 0) < it.value }
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
        wanted: Deployment,
        current: Map<ServiceName, ServiceRecord>
    ): List<ConfigChange> {
        val changed = wanted.services
            .filter { isChanged(call, current[it.name], it.name, it) }
            .map { change(call, it.name, it, current) }
        val deleted = call.deleted
            .filter { it in current && isChanged(call, current[it], it, null) }
            .map { change(call, it, null, current) }
        return (changed + deleted).sortedBy { it.service.value }
    }

    /** A repeated call also names what it changed itself, so that its reply is the same. */
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

    private fun checkRevision(
        call: ApplyCall,
        changes: List<ConfigChange>,
        current: Map<ServiceName, ServiceRecord>
    ): Either<Refusal, Unit> {
        val revision = revisionOf(current)
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

    private fun revisionOf(records: Map<ServiceName, ServiceRecord>) =
        records.values.sumOf { it.revision }
}
