package org.yuccawind.core.config

import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.supervisorScope
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.peer.NamedRecord
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.core.peer.ServiceRevision
import org.yuccawind.core.port.InstanceEntry
import org.yuccawind.core.port.PeerClient
import org.yuccawind.core.service.NodeContext

private const val EXCHANGE_FANOUT = 2
private const val PUSH_FANOUT = 4
private const val HASH_FACTOR = 1_000_003L
private const val RECORDS_PER_MESSAGE = 64
private val EXCHANGE_PERIOD = 250.milliseconds

/**
 * Distributes service records among instances by gossip.
 *
 * A new record is pushed to [PUSH_FANOUT] random peers at once, and each of them pushes it on. In
 * addition, every [EXCHANGE_PERIOD] each instance compares a hash of its revisions with
 * [EXCHANGE_FANOUT] random peers (anti-entropy). If the hashes differ, both sides exchange records
 * until each holds the higher revision of every record.
 *
 * @property table records of this instance
 * @property age updated with the record age that peers report
 * @property peers client for calls to other instances
 * @property random selects the peers of a round
 * @property members returns the other instances
 */
class RecordGossip(
    private val node: NodeContext,
    private val table: RecordTable,
    private val age: RecordAge,
    private val peers: PeerClient,
    private val random: Random = Random.Default,
    private val members: () -> List<InstanceEntry>
) {
    private val changed = Channel<ServiceName>(Channel.UNLIMITED)
    private val synced = ConcurrentHashMap.newKeySet<InstanceId>()

    /** Number of distinct peers with which this instance has synchronized since startup. */
    val syncedPeers: Int get() = synced.size

    /** Schedules the record of [service] to be pushed to random peers. */
    fun push(service: ServiceName) {
        changed.trySend(service)
    }

    /** Pushes new records and runs the periodic exchange until cancelled. */
    suspend fun run(): Unit = supervisorScope {
        launch { pushChanges() }
        while (true) {
            for (peer in randomPeers(EXCHANGE_FANOUT)) launch { exchange(peer) }
            delay(EXCHANGE_PERIOD)
        }
    }

    /** Handles [message] and returns the reply, or null if it is not a message about records. */
    fun handle(message: PeerMessage): PeerMessage? = when (message) {
        is PeerMessage.RecordDigest -> handleDigest(message)

        is PeerMessage.RevisionsWanted -> revisions(matches = false, message.services::contains)

        is PeerMessage.RecordsWanted -> PeerMessage.Records(namedRecords(message.services))

        is PeerMessage.Records -> {
            install(message)
            PeerMessage.Done
        }

        else -> null
    }

    private suspend fun pushChanges(): Unit = supervisorScope {
        for (first in changed) {
            val services = linkedSetOf(first)
            while (true) services += changed.tryReceive().getOrNull() ?: break
            val records = namedRecords(services.toList())
            for (peer in randomPeers(PUSH_FANOUT)) launch { send(peer, records) }
        }
    }

    private suspend fun exchange(peer: InstanceEntry) {
        val requestedAt = node.time.markNow()
        val reply = peers.call(peer.peerAddress, digest()).getOrNull()
        if (reply !is PeerMessage.RecordRevisions) return
        if (!reply.matches && !reconcile(peer, reply)) return
        reply.ageMs?.let { age.confirm(requestedAt, it.milliseconds) }
        synced += reply.instance
    }

    /** Exchanges the differing records with [peer]; false if fetching its newer records failed. */
    private suspend fun reconcile(
        peer: InstanceEntry,
        reply: PeerMessage.RecordRevisions
    ): Boolean {
        val remote = reply.revisions.associate { it.service to it.revision }
        val known = table.records()
        val newer = remote.filter { it.value > (known[it.key]?.revision ?: 0) }.keys.toList()
        val older = known.filter { it.value.revision > (remote[it.key] ?: 0) }.keys.toList()
        send(peer, namedRecords(older))
        return newer.chunked(RECORDS_PER_MESSAGE).all { fetch(peer, it) }
    }

    private suspend fun fetch(peer: InstanceEntry, services: List<ServiceName>): Boolean {
        val reply = peers.call(peer.peerAddress, PeerMessage.RecordsWanted(services)).getOrNull()
        node.log.record(
            "config_fetched",
            "peer" to peer.name,
            "wanted" to services.size,
            "got" to (reply as? PeerMessage.Records)?.records?.size
        )
        if (reply !is PeerMessage.Records) return false
        install(reply)
        return true
    }

    private suspend fun send(peer: InstanceEntry, records: List<NamedRecord>) {
        for (batch in records.chunked(RECORDS_PER_MESSAGE)) {
            peers.call(peer.peerAddress, PeerMessage.Records(batch))
        }
    }

    private fun install(message: PeerMessage.Records) =
        message.records.forEach { table.install(it.service, it.record, RecordOrigin.PEER) }

    private fun handleDigest(digest: PeerMessage.RecordDigest): PeerMessage {
        val matches = digest.hash == hash()
        if (matches) {
            digest.ageMs?.let { age.confirm(node.time.markNow(), it.milliseconds) }
            synced += digest.instance
        }
        return revisions(matches) { !matches }
    }

    private fun revisions(matches: Boolean, isRequested: (ServiceName) -> Boolean): PeerMessage {
        val known = table.records().filterKeys(isRequested)
        val revisions = known.map { ServiceRevision(it.key, it.value.revision) }
        return PeerMessage.RecordRevisions(node.instance, matches, revisions, ageMs())
    }

    private fun digest() = PeerMessage.RecordDigest(node.instance, hash(), ageMs())

    private fun ageMs() = age.now()?.inWholeMilliseconds

    /** Hash of all revisions; a sum, so that the iteration order of the map does not matter. */
    private fun hash(): Long = table.records().entries.sumOf { (service, record) ->
        service.value.fold(record.revision) { hash, char -> hash * HASH_FACTOR + char.code }
    }

    private fun namedRecords(services: List<ServiceName>): List<NamedRecord> {
        val known = table.records()
        return services.mapNotNull { name -> known[name]?.let { NamedRecord(name, it) } }
    }

    private fun randomPeers(count: Int): List<InstanceEntry> =
        members().shuffled(random).take(count)
}
