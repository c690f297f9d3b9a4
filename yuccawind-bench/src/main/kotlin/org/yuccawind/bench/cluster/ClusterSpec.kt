package org.yuccawind.bench.cluster

import kotlin.time.Duration
import org.yuccawind.core.config.Acknowledge
import org.yuccawind.core.config.ReadKind
import org.yuccawind.standins.network.LinkSettings

/**
 * Composition of a [Cluster].
 *
 * @property zones availability zones; instances and databases are assigned to them round-robin
 * @property instances number of entry instances
 * @property services services to set up
 * @property decisionLog true logs one line for each routed request
 * @property link delay, variation and loss between availability zones
 * @property seed seed for random link delays and losses
 * @property isDurable true preserves the log of a database across restarts
 * @property unloggedInstances number of instances, counted from the last, without the decision log
 * @property instanceCores number of cores available to an instance; null for all
 * @property readPolicy value of the `readPolicy` setting of the instances
 */
data class ClusterSpec(
    val zones: List<String>,
    val instances: Int,
    val services: List<ServiceSpec>,
    val decisionLog: Boolean = true,
    val link: LinkSettings = LinkSettings(Duration.ZERO),
    val seed: Int = 1,
    val isDurable: Boolean = false,
    val unloggedInstances: Int = 0,
    val instanceCores: Int? = null,
    val readPolicy: String = "predicted"
)

/**
 * One service of a [ClusterSpec].
 *
 * @property name service name
 * @property servers number of databases
 * @property slots statements that each database runs concurrently
 * @property connections connection limit of each database
 * @property connectionMs time to open a connection in milliseconds
 * @property lagMs replication lag in milliseconds
 * @property statementMs time that a statement occupies its slot in milliseconds
 * @property readKinds kinds of read that the service offers
 * @property acknowledge replication required before a write is acknowledged
 */
data class ServiceSpec(
    val name: String,
    val servers: Int = 3,
    val slots: Int = 2,
    val connections: Int = 16,
    val connectionMs: Int = 10,
    val lagMs: Int = 20,
    val statementMs: Int = 0,
    val readKinds: List<ReadKind> = listOf(
        ReadKind("default"),
        ReadKind("second", greatestAgeMs = 1_000),
        ReadKind("current", greatestAgeMs = 0)
    ),
    val acknowledge: Acknowledge = Acknowledge.MAJORITY
)
