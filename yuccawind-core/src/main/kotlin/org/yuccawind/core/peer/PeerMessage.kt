package org.yuccawind.core.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.yuccawind.core.config.ServiceRecord
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.port.InstanceEntry
import org.yuccawind.core.result.Refusal
import org.yuccawind.core.result.ResultCode
import org.yuccawind.core.write.WriteResult

/** A message between two instances. A message is a hint: no safety rests on it. */
@Serializable
sealed interface PeerMessage {
    /**
     * Tells that the sender lives.
     *
     * @property instance the sender
     * @property zone its availability zone
     * @property leaving true once it shuts down
     * @property services what it knows of the primaries that it watches
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
     * Tells a hash of the revisions in force, and how many milliseconds ago the platform had
     * nothing newer; null when that was never known.
     */
    @Serializable
    @SerialName("record-digest")
    data class RecordDigest(val instance: InstanceId, val hash: Long, val ageMs: Long?) :
        PeerMessage

    /** Replies to a digest: it [matches], or these are the revisions in force here. */
    @Serializable
    @SerialName("record-revisions")
    data class RecordRevisions(
        val instance: InstanceId,
        val matches: Boolean,
        val revisions: List<ServiceRevision>,
        val ageMs: Long?
    ) : PeerMessage

    /** Asks for the platform's list unless the receiver holds the one with [digest], too. */
    @Serializable
    @SerialName("list-wanted")
    data class ListWanted(val digest: Int) : PeerMessage

    /** The platform's list as the sender last saw it. */
    @Serializable
    @SerialName("list")
    data class InstanceList(val entries: List<InstanceEntry>) : PeerMessage

    /** The sender's list is the one that was named. */
    @Serializable
    @SerialName("list-unchanged")
    data object ListUnchanged : PeerMessage

    /** Asks which revisions of [services] are in force; the reply is [RecordRevisions]. */
    @Serializable
    @SerialName("revisions-wanted")
    data class RevisionsWanted(val services: List<ServiceName>) : PeerMessage

    /** Asks for the records of [services]. */
    @Serializable
    @SerialName("records-wanted")
    data class RecordsWanted(val services: List<ServiceName>) : PeerMessage

    /** Hands over records that the other side asked for, or that are new. */
    @Serializable
    @SerialName("records")
    data class Records(val records: List<NamedRecord>) : PeerMessage

    /**
     * Asks the owner of [transaction] to run [step].
     *
     * @property limitMs time that the sender waits for the reply, in milliseconds
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
        /** The refusal that the caller gets. */
        fun toRefusal() = Refusal(code, detail, retryAfterMs)
    }

    /**
     * Asks to hold new writes of [service] back while [primary] hands over.
     *
     * @property service the service
     * @property primary server whose writes are held
     * @property forMs greatest time to hold them, in milliseconds
     */
    @Serializable
    @SerialName("hold-writes")
    data class HoldWrites(
        val service: ServiceName,
        val primary: BackendServerName,
        val forMs: Long
    ) : PeerMessage

    /**
     * Asks for proof that a server of [service] leads.
     *
     * @property service the service
     * @property maxAgeUs greatest age of the proof when the question arrives, in microseconds; 0
     *   for one that is found afterwards
     */
    @Serializable
    @SerialName("proof-wanted")
    data class ProofWanted(val service: ServiceName, val maxAgeUs: Long) : PeerMessage

    /**
     * Tells that [server] led.
     *
     * @property server the primary
     * @property end end of its log
     * @property floor end of what it had received when it took the lead
     * @property ageUs age of the proof when the reply was made, in microseconds; null when the
     *   proof was begun after the question arrived
     */
    @Serializable
    @SerialName("proof")
    data class Proof(
        val server: BackendServerName,
        val end: LogPoint,
        val floor: LogPoint,
        val ageUs: Long?
    ) : PeerMessage

    /** Nothing is proved that is young enough. */
    @Serializable
    @SerialName("no-proof")
    data object NoProof : PeerMessage

    /**
     * Asks for the platform's items under [prefix] as the receiver last read them.
     *
     * @property knownRevision revision of the platform at which the sender knows them; 0 for none
     * @property waitMs time to wait for another revision of a single item, in milliseconds
     */
    @Serializable
    @SerialName("items-wanted")
    data class ItemsWanted(val prefix: String, val knownRevision: Long, val waitMs: Long) :
        PeerMessage

    /**
     * Items of the platform.
     *
     * @property revision revision of the platform that they were read at
     * @property ageUs time since the platform confirmed them, in microseconds
     * @property items the items; null when the sender of the question knows them
     */
    @Serializable
    @SerialName("items")
    data class Items(val revision: Long, val ageUs: Long, val items: List<PeerItem>?) : PeerMessage

    /** Nothing to say in reply. */
    @Serializable
    @SerialName("done")
    data object Done : PeerMessage
}

/** The revision of one service that an instance has in force. */
@Serializable
data class ServiceRevision(val service: ServiceName, val revision: Long)

/**
 * What an instance knows of the primary of one service.
 *
 * @property service the service
 * @property term term of the newest proof of a majority behind the primary; 0 for none
 * @property ageMs age of that proof when the message was made, in milliseconds
 * @property transactions transactions that the sender holds open
 */
@Serializable
data class ServiceEvidence(
    val service: ServiceName,
    val term: Long,
    val ageMs: Long,
    val transactions: Int = 0
)

/** A service record with its key. */
@Serializable
data class NamedRecord(val service: ServiceName, val record: ServiceRecord)

/**
 * An item of the platform's key-value service.
 *
 * @property key its key
 * @property value its text
 * @property revision revision of its last change
 */
@Serializable
data class PeerItem(val key: String, val value: String, val revision: Long)
