package org.yuccawind.samples

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.yuccawind.config.deployment

private val ZONES = listOf("zaragoza", "logrono", "pamplona", "bilbao")
private val SERVICES = listOf("ventas-pedidos", "ventas-stock", "ventas-trazabilidad")
private const val SERVERS_PER_SERVICE = 3
private const val PORT = 5_432

/** Prints the YAML of the deployment of Pastas Frescas del Ebro, region norte. */
fun main() = print(pastasFrescas().toYaml())

/**
 * The ventas-db workspace: three services with three backend servers each, with 2 slots and 30
 * connections each. The servers of a service are in three of the four availability zones; each
 * service omits a different zone.
 */
fun pastasFrescas() = deployment {
    for ((serviceIndex, name) in SERVICES.withIndex()) {
        service(name) {
            deadline = 10.seconds
            slots = 2
            connections = 30
            readKind("default")
            readKind("stock", greatestAge = 2.seconds)
            readKind("reparto", greatestAge = 10.seconds)
            readKind("actual", greatestAge = Duration.ZERO)
            for (serverIndex in 0 until SERVERS_PER_SERVICE) {
                val zoneIndex = (serviceIndex + serverIndex) % ZONES.size
                backendServer("$name-${serverIndex + 1}") {
                    zone = ZONES[zoneIndex]
                    address = "10.20.${zoneIndex + 1}.${11 + serviceIndex}:$PORT"
                }
            }
        }
    }
}
