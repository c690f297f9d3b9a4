package org.yuccawind.core.model

import kotlinx.serialization.Serializable

/** Name of a service: a group of backend servers that callers access through the proxy. */
@JvmInline
@Serializable
value class ServiceName(val value: String) {
    override fun toString() = value
}

/** Name of a backend server, unique within its service. */
@JvmInline
@Serializable
value class BackendServerName(val value: String) {
    override fun toString() = value
}

/** Identifier of a proxy instance, unique while its process runs. */
@JvmInline
@Serializable
value class InstanceId(val value: String) {
    override fun toString() = value
}

/** Name of an availability zone. */
@JvmInline
@Serializable
value class AvailabilityZone(val value: String) {
    override fun toString() = value
}

/** Identifier that a caller assigns to a request, unique within its service. */
@JvmInline
@Serializable
value class RequestId(val value: String) {
    override fun toString() = value
}
