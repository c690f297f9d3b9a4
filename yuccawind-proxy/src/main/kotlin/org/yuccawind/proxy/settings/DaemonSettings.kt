package org.yuccawind.proxy.settings

import kotlinx.serialization.Serializable

/**
 * Settings of one instance, read from YAML.
 *
 * @property instance unique name of the instance
 * @property zone availability zone of the instance
 * @property callers listen address for callers
 * @property operators listen address for operators
 * @property peers listen address for other instances
 * @property platform IP address and port of the platform's key-value service
 * @property operatorKey key that operators send; at least 16 characters
 * @property drainMs time limit of a graceful shutdown in milliseconds; 10,000 by default
 * @property decisionLog true logs each routing decision; true by default
 * @property readPolicy read routing policy, `predicted` by default; the others are baselines for
 *   comparison
 */
@Serializable
data class DaemonSettings(
    val instance: String,
    val zone: String,
    val callers: Endpoint,
    val operators: Endpoint,
    val peers: Endpoint,
    val platform: String,
    val operatorKey: String,
    val drainMs: Long = 10_000,
    val decisionLog: Boolean = true,
    val readPolicy: ReadPolicyName = ReadPolicyName.PREDICTED
)

/**
 * An address to listen on.
 *
 * @property host IP address; 127.0.0.1 by default
 * @property port TCP port
 */
@Serializable
data class Endpoint(val host: String = "127.0.0.1", val port: Int) {
    override fun toString() = "$host:$port"
}
