package org.yuccawind.config

import org.yuccawind.core.config.BackendServerConfig
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName

/** Builds the configuration of one backend server. */
@ConfigDsl
class BackendServerBuilder internal constructor(
    private val name: String,
    slots: Int,
    connections: Int
) {
    /** Availability zone of the server. */
    var zone = ""

    /** IP address and port, for example `10.0.1.11:5432`. */
    var address = ""

    /** Statements that the server runs concurrently; defaults to the value of the service. */
    var slots = slots

    /** Connections that the server accepts; defaults to the value of the service. */
    var connections = connections

    internal fun build() = BackendServerConfig(
        BackendServerName(name),
        AvailabilityZone(zone),
        address,
        slots,
        connections
    )
}
