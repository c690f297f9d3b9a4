package org.yuccawind.bench.cluster

import org.yuccawind.core.model.AvailabilityZone

/**
 * A database process of a cluster.
 *
 * @property name backend server name in the configuration
 * @property zone availability zone
 * @property port loopback port
 */
data class DatabaseProcess(val name: String, val zone: AvailabilityZone, val port: Int) {
    /** IP address and port. */
    val address get() = "127.0.0.1:$port"
}

/**
 * An entry instance of a cluster.
 *
 * @property name instance name
 * @property zone availability zone
 * @property callersPort port of the caller API
 * @property operatorsPort port of the operator API
 * @property peersPort port of the peer protocol
 */
data class InstanceProcess(
    val name: String,
    val zone: AvailabilityZone,
    val callersPort: Int,
    val operatorsPort: Int,
    val peersPort: Int
) {
    /** Address of the caller API. */
    val callerAddress get() = "127.0.0.1:$callersPort"

    /** Address of the operator API. */
    val operatorAddress get() = "127.0.0.1:$operatorsPort"

    /** Address of the peer protocol. */
    val peerAddress get() = "127.0.0.1:$peersPort"

    internal fun settings(platform: String, key: String, decisionLog: Boolean, readPolicy: String) =
        """
        instance: $name
        zone: $zone
        callers: { port: $callersPort }
        operators: { port: $operatorsPort }
        peers: { port: $peersPort }
        platform: "$platform"
        operatorKey: $key
        decisionLog: $decisionLog
        readPolicy: $readPolicy
        """.trimIndent() + "\n"
}
