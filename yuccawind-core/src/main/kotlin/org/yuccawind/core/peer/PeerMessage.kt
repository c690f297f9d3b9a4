package org.yuccawind.core.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.yuccawind.core.config.ServiceRecord
import org.yuccawind.core.load.LoadReport
import org.yuccawind.core.load.ServerView
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.port.InstanceEntry
import org.yuccawind.core.result.Refusal
import org.yuccawind.core.result.ResultCode
import org.yuccawind.core.write.WriteResult

/**
 * A message between two instances. Any may be lost, late or doubled. Only the limits of workspaces
 * depend on messages, on those that promise a share or grant operations for a fixed time.
 */
@Serializable
sealed interface PeerMessage {
    /**
     * Reports that the sender is alive.
     *
     * @property instance the sender
     * @property zone availability zone of the sender
     * @property leaving true once the sender is shutting down
     * @property services evidence about the primaries of the services that the sender monitors
     */
    @Serializable
    @SerialName("heartbeat")
    data class Heartbeat(
        val instance: InstanceId,
        val zone: AvailabilityZone,
        val leaving: Boolean,
        val services: List<ServiceEvidence> = emptyList()
    ) : PeerMessage

    /**
     * Announces the service records that the sender uses.
     *
     * @property instance the sender
     * @property hash hash of the revisions of all service records in use
     * @property ageMs time since the platform was last known to have nothing newer, in
     *   milliseconds; null when unknown
     */
    @Serializable
    @SerialName("record-digest")
    data class RecordDigest(val instance: InstanceId, val hash: Long, val ageMs: Long?) :
        PeerMessage

    /**
     * Reply to [RecordDigest] and [RevisionsWanted].
     *
     * @property instance the sender
     * @property matches true when the sender's hash equals the one in the digest
     * @property revisions revisions in use at the sender
     * @property ageMs time since the platform was last known to have nothing newer, in
     *   milliseconds; null when unknown
     */
    @Serializable
    @SerialName("record-revisions")
    data class RecordRevisions(
        val instance: InstanceId,
        val matches: Boolean,
        val revisions: List<ServiceRevision>,
        val ageMs: Long?
    ) : PeerMessage

    /** Requests the platform's instance list, unless the receiver's list also has [digest]. */
    @Serializable
    @SerialName("list-wanted")
    data class ListWanted(val digest: Int) : PeerMessage

    /** Reply to [ListWanted]: the platform's instance list as the sender last read it. */
    @Serializable
    @SerialName("list")
    data class InstanceList(val entries: List<InstanceEntry>) : PeerMessage

    /** Reply to [ListWanted]: the sender's list has the requested digest. */
    @Serializable
    @SerialName("list-unchanged")
    data object ListUnchanged : PeerMessage

    /** Requests the revisions of [services] in use; the reply is [RecordRevisions]. */
    @Serializable
    @SerialName("revisions-wanted")
    data class RevisionsWanted(val services: List<ServiceName>) : PeerMessage

    /** Requests the service records of [services]. */
    @Serializable
    @SerialName("records-wanted")
    data class RecordsWanted(val services: List<ServiceName>) : PeerMessage

    /** Transfers service records that the receiver requested, or that are new. */
    @Serializable
    @SerialName("records")
    data class Records(val records: List<NamedRecord>) : PeerMessage

    /**
     * Requests that the instance that owns [transaction] runs [step].
     *
     * @property limitMs time limit of the sender for the reply, in milliseconds
     */
    @Serializable
    @SerialName("transaction-call")
    data class TransactionCall(
        val service: ServiceName,
        val transaction: String,
        val step: TransactionStep,
        val limitMs: Long
    ) : PeerMessage

    /** The step ran and returned [rows]. */
    @Serializable
    @SerialName("transaction-rows")
    data class TransactionRows(val rows: List<String>) : PeerMessage

    /** The transaction is committed. */
    @Serializable
    @SerialName("transaction-committed")
    data class TransactionCommitted(val result: WriteResult) : PeerMessage

    /** The step was refused. */
    @Serializable
    @SerialName("transaction-refused")
    data class TransactionRefused(
        val code: ResultCode,
        val detail: String,
        val retryAfterMs: Long?
    ) : PeerMessage {
        /** Returns the refusal to send to the caller. */
        fun toRefusal() = Refusal(code, detail, retryAfterMs)
    }

    /**
     * Requests that the receiver delays new writes of [service] during a hand-over of [primary].
     *
     * @property service the service
     * @property primary server whose writes are delayed
     * @property forMs maximum delay, in milliseconds
     */
    @Serializable
    @SerialName("hold-writes")
    data class HoldWrites(
        val service: ServiceName,
        val primary: BackendServerName,
        val forMs: Long
    ) : PeerMessage

    /**
     * Requests a proof that a server of [service] is the primary.
     *
     * @property service the service
     * @property maxAgeUs maximum age of the proof when the request arrives, in microseconds; 0
     *   requests a proof begun after the arrival
     * @property load what the sender saw of the service's servers; null if nothing
     */
    @Serializable
    @SerialName("proof-wanted")
    data class ProofWanted(
        val service: ServiceName,
        val maxAgeUs: Long,
        val load: LoadReport? = null
    ) : PeerMessage

    /**
     * Proof that [server] was the primary.
     *
     * @property server the primary
     * @property end end of its log
     * @property floor end of the log that it had received when it was promoted
     * @property ageUs age of the proof when the reply was sent, in microseconds; null when the
     *   proof was begun after the request arrived
     * @property load load of the service's servers, as far as the sender knows it
     */
    @Serializable
    @SerialName("proof")
    data class Proof(
        val server: BackendServerName,
        val end: LogPoint,
        val floor: LogPoint,
        val ageUs: Long?,
        val load: List<ServerView> = emptyList()
    ) : PeerMessage

    /** Reply to [ProofWanted]: no sufficiently recent proof is available. */
    @Serializable
    @SerialName("no-proof")
    data object NoProof : PeerMessage

    /**
     * Requests the platform's key-value items under [prefix] as the receiver last read them.
     *
     * @property prefix common prefix of the keys
     * @property knownRevision platform revision of the items that the sender has; 0 for none
     * @property waitMs time to wait for another revision of a single item, in milliseconds
     * @property knownEra era of [knownRevision]; 0 if unknown
     */
    @Serializable
    @SerialName("items-wanted")
    data class ItemsWanted(
        val prefix: String,
        val knownRevision: Long,
        val waitMs: Long,
        val knownEra: Long = 0
    ) : PeerMessage

    /**
     * Reply to [ItemsWanted].
     *
     * @property revision platform revision at which the items were read
     * @property ageUs time since the platform confirmed the items, in microseconds
     * @property items the items; null when the requester already has them
     * @property era era of [revision] and of the revisions of the items; 0 if unknown
     */
    @Serializable
    @SerialName("items")
    data class Items(
        val revision: Long,
        val ageUs: Long,
        val items: List<PeerItem>?,
        val era: Long = 0
    ) : PeerMessage

    /**
     * Requests the receiver's share of the limits of one shard of the workspaces; the reply is
     * [ShareGiven] or [ShareHeld].
     *
     * @property keeper name of the sender, which grants operations from the shares
     * @property shard number of the shard
     * @property fleetSize number of instances among which the sender divides the limits
     */
    @Serializable
    @SerialName("share-wanted")
    data class ShareWanted(val keeper: String, val shard: Int, val fleetSize: Int) : PeerMessage

    /**
     * Reply to [ShareWanted]: the share is promised to the requester for a fixed time.
     *
     * @property serial number of the promise
     * @property fleetSize number of instances among which the sender divides the limits
     */
    @Serializable
    @SerialName("share-given")
    data class ShareGiven(val serial: Long, val fleetSize: Int) : PeerMessage

    /** Reply to [ShareWanted]: the share is promised to [keeper]; null if not available yet. */
    @Serializable
    @SerialName("share-held")
    data class ShareHeld(val keeper: String?) : PeerMessage

    /** Gives back the share that promise [serial] of the receiver gave to [keeper]. */
    @Serializable
    @SerialName("share-released")
    data class ShareReleased(val keeper: String, val shard: Int, val serial: Long) : PeerMessage

    /** Requests that [instance] may start [count] operations of [workspace]. */
    @Serializable
    @SerialName("operations-wanted")
    data class OperationsWanted(val instance: String, val workspace: String, val count: Int) :
        PeerMessage

    /**
     * Reply to [OperationsWanted].
     *
     * @property count operations granted, to be started within a fixed time of the request
     * @property keeper instance to ask for operations of this workspace; null if unknown
     */
    @Serializable
    @SerialName("operations-granted")
    data class OperationsGranted(val count: Int, val keeper: String? = null) : PeerMessage

    /** Empty reply. */
    @Serializable
    @SerialName("done")
    data object Done : PeerMessage
}

/** Revision of a service's record that an instance uses. */
@Serializable
data class ServiceRevision(val service: ServiceName, val revision: Long)

/**
 * Evidence of one instance about the primary of a service.
 *
 * @property service the service
 * @property term term of the latest proof that a majority follows the primary; 0 for none
 * @property ageMs age of that proof when the message was created, in milliseconds
 * @property transactions number of transactions open at the sender
 */
@Serializable
data class ServiceEvidence(
    val service: ServiceName,
    val term: Long,
    val ageMs: Long,
    val transactions: Int = 0
)

/** A service record and the name of its service. */
@Serializable
data class NamedRecord(val service: ServiceName, val record: ServiceRecord)

/**
 * An item of the platform's key-value service.
 *
 * @property key key of the item
 * @property value value of the item
 * @property revision platform revision of its last change
 */
@Serializable
data class PeerItem(val key: String, val value: String, val revision: Long)
