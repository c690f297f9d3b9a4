package org.yuccawind.samples

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.yuccawind.config.deployment

private val ZONES = listOf("ch-mitte-a", "ch-mitte-b", "ch-mitte-c")
private val SERVICES = listOf("match-pairing", "match-profiles", "match-routing")
private const val PORT = 5_432

/** Prints the YAML of the deployment of Federbrücke Schulbriefwechsel, region ch-mitte. */
fun main() = print(federbruecke().toYaml())

/**
 * The match-core workspace: three services with three backend servers each, one in every
 * availability zone, with 2 slots and 16 connections each.
 */
fun federbruecke() = deployment {
    for ((serviceIndex, name) in SERVICES.withIndex()) {
        service(name) {
            deadline = 15.seconds
            slots = 2
            connections = 16
            readKind("default")
            readKind("lesson", greatestAge = 1.seconds)
            readKind("current", greatestAge = Duration.ZERO)
            for ((serverIndex, zoneName) in ZONES.withIndex()) {
                backendServer("$name-${serverIndex + 1}") {
                    zone = zoneName
                    address = "10.10.${serverIndex + 1}.${11 + serviceIndex}:$PORT"
                }
            }
        }
    }
}
