package org.yuccawind.core.fleet

import org.yuccawind.core.link.IDLE_CONNECTION_SHARE
import org.yuccawind.core.membership.Member
import org.yuccawind.core.membership.Rendezvous
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.port.InstanceEntry

/** Instances of a zone that read the platform for the others; two, so that one may fail. */
private const val READERS_PER_ZONE = 2

/** Key for rendezvous hashing of the platform readers. */
private const val READERS_KEY = "platform-readers"

/**
 * Assigns home instances to services by rendezvous hashing. The homes of a service keep connections
 * to its servers, renew the evidence of its primary continuously and monitor it. The other
 * instances request proofs from the homes, and open connections for single statements only.
 *
 * This serves fleets with more instances than a server accepts connections. If each instance kept
 * one, most would get none and retry forever.
 */
object HomeAssignment {
    /** Maximum number of homes per service: three or more in each of five zones. */
    const val MAX_HOMES = 16

    /**
     * Returns the homes of [service] among [instances], spread over the zones. In a small fleet all
     * instances are homes.
     */
    fun homesOf(
        service: ServiceName,
        maxConnections: Int,
        instances: List<InstanceEntry>
    ): List<InstanceEntry> {
        val count = minOf(MAX_HOMES, maxIdleConnections(maxConnections)).coerceAtLeast(1)
        if (instances.size <= count) return instances
        val byId = instances.associateBy { InstanceId(it.name) }
        val members = byId.map { Member(it.key, it.value.zone) }
        return Rendezvous.zoneBalancedOrder(service.value, members).take(count).map(byId::getValue)
    }

    /** Returns the platform readers among [instances], which are those of one zone. */
    fun platformReadersAmong(instances: List<InstanceEntry>): List<InstanceEntry> {
        val byId = instances.associateBy { InstanceId(it.name) }
        return Rendezvous.order(READERS_KEY, byId.keys.toList()).take(READERS_PER_ZONE)
            .map(byId::getValue)
    }

    /** Returns how many unused connections all instances together may keep to one server. */
    fun maxIdleConnections(maxConnections: Int) = (maxConnections * IDLE_CONNECTION_SHARE).toInt()
}
