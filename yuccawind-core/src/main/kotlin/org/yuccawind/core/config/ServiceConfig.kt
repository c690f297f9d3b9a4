package org.yuccawind.core.config

import kotlinx.serialization.Serializable
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServiceName

/**
 * Configuration of one service, as set by operators.
 *
 * @property name unique name of the service
 * @property backendServers members of the database group
 * @property readKinds kinds of read that callers may request by name
 * @property acknowledge when a write counts as acknowledged; on a majority by default
 * @property deadlineMs maximum duration of one request in milliseconds; 5,000 by default
 * @property queueLimit maximum number of requests waiting for a connection of one server; 256 by
 *   default
 */
@Serializable
data class ServiceConfig(
    val name: ServiceName,
    val backendServers: List<BackendServerConfig>,
    val readKinds: List<ReadKind> = listOf(ReadKind("default")),
    val acknowledge: Acknowledge = Acknowledge.MAJORITY,
    val deadlineMs: Long = 5_000,
    val queueLimit: Int = 256
) {
    /** Number of servers that form a majority of the group. */
    val majority get() = backendServers.size / 2 + 1

    /** Finds a read kind by name, or returns null. */
    fun readKind(kind: String) = readKinds.find { it.name == kind }
}

/**
 * One backend server of a service.
 *
 * @property name unique name within the service
 * @property zone availability zone of the server
 * @property address IP address and port, for example `127.0.0.1:7001`
 * @property slots number of statements that the server runs concurrently; 2 by default
 * @property connections maximum number of connections that the server accepts; 16 by default
 */
@Serializable
data class BackendServerConfig(
    val name: BackendServerName,
    val zone: AvailabilityZone,
    val address: String,
    val slots: Int = 2,
    val connections: Int = 16
)

/**
 * A kind of read with its staleness bound.
 *
 * @property name name by which callers request it
 * @property greatestAgeMs maximum staleness of the data in milliseconds; null accepts any staleness
 *   within session consistency; 0 requires evidence gathered entirely after the request arrived
 */
@Serializable
data class ReadKind(val name: String, val greatestAgeMs: Long? = null)

/** When a write counts as acknowledged. */
@Serializable
enum class Acknowledge {
    /** A majority of the group has stored the write; it survives a failover. */
    MAJORITY,

    /** The primary has stored the write; a failover may lose it. */
    PRIMARY
}
