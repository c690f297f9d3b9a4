package org.yuccawind.core.wire

import kotlinx.serialization.Serializable
import org.yuccawind.core.config.ServiceConfig
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.model.ServerRole
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.peer.ServiceRevision

/**
 * Reply of the administration API.
 *
 * @property code numeric result code
 * @property name name of the result code
 * @property detail reason of a refusal; null on success
 * @property value payload of the reply; null for refusals
 */
@Serializable
data class AdminReply<T>(
    val code: Int,
    val name: String,
    val detail: String? = null,
    val value: T? = null
)

/**
 * Request to apply a deployment.
 *
 * @property services services to create or change
 * @property deleted services to delete
 * @property revision revision of the whole configuration that the change is based on, or null to
 *   accept any
 * @property author operator who makes the change
 * @property nonce idempotency key; repeated calls with the same nonce take effect once
 */
@Serializable
data class ApplyCall(
    val services: List<ServiceConfig>,
    val deleted: List<ServiceName>,
    val revision: Long?,
    val author: String,
    val nonce: String
)

/** Accepted changes and the resulting [revision] of the whole configuration. */
@Serializable
data class ApplyView(val accepted: List<ServiceRevision>, val revision: Long)

/**
 * Configuration as read from the platform or, if the platform is unavailable, as in force on the
 * instance that replies.
 *
 * @property instance instance that replies
 * @property revision revision of the whole configuration: the sum of the revisions of all records
 * @property ageMs milliseconds since the records were last confirmed to be current, 0 if read from
 *   the platform; null if never confirmed
 * @property services records ordered by name, including those of deleted services
 */
@Serializable
data class ConfigView(
    val instance: InstanceId,
    val revision: Long,
    val ageMs: Long?,
    val services: List<RecordView>
)

/** One service record; [config] is null if the service is deleted. */
@Serializable
data class RecordView(
    val service: ServiceName,
    val revision: Long,
    val author: String,
    val changedAtEpochMs: Long,
    val digest: String,
    val config: ServiceConfig?
)

/** Accepted changes, newest first. */
@Serializable
data class HistoryView(val changes: List<HistoryEntry>)

/** One accepted change; [digest] is empty for a deletion. */
@Serializable
data class HistoryEntry(
    val service: ServiceName,
    val revision: Long,
    val author: String,
    val changedAtEpochMs: Long,
    val digest: String
)

/** Asks how many instances have these [revisions], or later ones, in force. */
@Serializable
data class RolloutCall(val revisions: List<ServiceRevision>)

/**
 * Rollout state of the requested revisions.
 *
 * @property instances number of instances asked, including the one that replies
 * @property behind names of the instances that have an earlier revision in force
 * @property silent names of the instances that did not reply
 */
@Serializable
data class RolloutView(val instances: Int, val behind: List<String>, val silent: List<String>)

/** Instances known to the instance that replies. */
@Serializable
data class InstancesView(val instances: List<InstanceView>)

/** One instance of the proxy. */
@Serializable
data class InstanceView(
    val name: String,
    val zone: AvailabilityZone,
    val peerAddress: String,
    val live: Boolean,
    val leaving: Boolean
)

/**
 * Status of a service as known to one instance.
 *
 * @property primary current primary, or null if no majority certificate names one
 * @property term term of the primary
 * @property proofAgeMs age of the certificate in milliseconds
 * @property configAgeMs milliseconds since the configuration was last confirmed to be current
 * @property servedBy live instances
 */
@Serializable
data class ServiceStatusView(
    val service: ServiceName,
    val revision: Long,
    val primary: BackendServerName?,
    val term: Long?,
    val proofAgeMs: Long?,
    val configAgeMs: Long?,
    val servers: List<ServerView>,
    val servedBy: List<InstanceId>
)

/** One backend server; [end], [role] and [ageMs] are null until it first reports its status. */
@Serializable
data class ServerView(
    val name: BackendServerName,
    val zone: AvailabilityZone,
    val address: String,
    val role: ServerRole?,
    val end: String?,
    val ageMs: Long?
)

/** Requests a planned handover of the primary role [to] a backend server. */
@Serializable
data class HandoverCall(val to: BackendServerName)

/** The primary and its [term] after a handover. */
@Serializable
data class HandoverView(val primary: BackendServerName, val term: Long)
