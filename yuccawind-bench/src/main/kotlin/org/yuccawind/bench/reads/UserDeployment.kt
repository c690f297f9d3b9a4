package org.yuccawind.bench.reads

import kotlin.time.Duration.Companion.milliseconds
import org.yuccawind.bench.cluster.ClusterSpec
import org.yuccawind.bench.cluster.ServiceSpec
import org.yuccawind.standins.network.LinkSettings

/**
 * Present deployment of a user.
 *
 * @property label name in options and output
 * @property zones availability zones
 * @property instances number of entry instances
 * @property service name of the service under load
 * @property connections connection limit of each database
 * @property connectionMs time to open a connection in milliseconds
 * @property zoneDelayMs one-way delay between availability zones in milliseconds
 */
internal enum class UserDeployment(
    val label: String,
    val zones: List<String>,
    val instances: Int,
    val service: String,
    val connections: Int,
    val connectionMs: Int,
    val zoneDelayMs: Int
) {
    FEDERBRUECKE(
        "federbruecke",
        listOf("ch-mitte-a", "ch-mitte-b", "ch-mitte-c"),
        7,
        "match-pairing",
        16,
        10,
        3
    ),
    PASTAS(
        "pastas",
        listOf("zaragoza", "logrono", "pamplona", "bilbao"),
        8,
        "ventas-stock",
        30,
        30,
        5
    );

    /** Returns a cluster specification of this deployment that runs [services]. */
    fun cluster(services: List<ServiceSpec>, readPolicy: String = "predicted") = ClusterSpec(
        zones = zones,
        instances = instances,
        services = services,
        decisionLog = false,
        link = LinkSettings(zoneDelayMs.milliseconds),
        readPolicy = readPolicy
    )

    /** Returns a service specification with the connection limits of this deployment. */
    fun serviceSpec(name: String, lagMs: Int, statementMs: Int) = ServiceSpec(
        name = name,
        connections = connections,
        connectionMs = connectionMs,
        lagMs = lagMs,
        statementMs = statementMs
    )
}
