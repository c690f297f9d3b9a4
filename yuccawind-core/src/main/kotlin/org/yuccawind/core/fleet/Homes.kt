package org.yuccawind.core.fleet

import org.yuccawind.core.membership.Member
import org.yuccawind.core.membership.Rendezvous
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.port.InstanceEntry

/** Part of a server's connections that unused ones may take up, over all instances. */
private const val KEPT_PART = 0.6

/** Instances of a zone that read the platform for the others; one of them may be lost. */
private const val READERS_PER_ZONE = 2

/** Key by which they are chosen. */
private const val READERS_KEY = "platform-readers"

/**
 * Chooses the instances that are home to a service: they keep connections to its servers, keep
 * evidence of its primary young and watch it. The others ask them, and connect for the time of a
 * statement.
 *
 * The load this answers: a fleet with more instances than a server accepts connections. If each
 * instance keeps one, most get none, and try again without end.
 */
object Homes {
    /** Homes of a service: three or more in each of five zones. */
    const val MAX_HOMES = 16

    /** The homes of [service] among [instances], spread over the zones; all of a small fleet. */
    fun of(
        service: ServiceName,
        maxConnections: Int,
        instances: List<InstanceEntry>
    ): List<InstanceEntry> {
        val count = minOf(MAX_HOMES, keptConnections(maxConnections)).coerceAtLeast(1)
        if (instances.size <= count) return instances
        val byId = instances.associateBy { InstanceId(it.name) }
        val members = byId.map { Member(it.key, it.value.zone) }
        return Rendezvous.zoneBalancedOrder(service.value, members).take(count).map(byId::getValue)
    }

    /** The instances that read the platform, among those of one zone. */
    fun readersAmong(instances: List<InstanceEntry>): List<InstanceEntry> {
        val byId = instances.associateBy { InstanceId(it.name) }
        return Rendezvous.order(READERS_KEY, byId.keys.toList()).take(READERS_PER_ZONE)
            .map(byId::getValue)
    }

    /** Unused connections that all instances together may keep to one server. */
    fun keptConnections(maxConnections: Int) = (maxConnections * KEPT_PART).toInt()
}
