package org.yuccawind.core.membership

import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.InstanceId

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val MIX_SHIFT = 33
private const val MIX_FACTOR = -0xae502812aa7333L

/** Rendezvous hashing: every instance computes the same order without communication. */
object Rendezvous {
    /** Returns the [instances] by descending weight for [key]. */
    fun order(key: String, instances: List<InstanceId>): List<InstanceId> = instances.sortedWith(
        compareByDescending<InstanceId> {
            weight(key, it)
        }.thenBy { it.value }
    )

    /** Returns the index of [self] in [order], or the number of instances if it is not included. */
    fun rank(key: String, self: InstanceId, instances: List<InstanceId>): Int {
        val index = order(key, instances).indexOf(self)
        return if (index < 0) instances.size else index
    }

    /**
     * Returns the [members] by descending weight for [key], interleaved by availability zone: first
     * the instance with the greatest weight in each zone, then the second of each zone, and so on.
     */
    fun zoneBalancedOrder(key: String, members: List<Member>): List<InstanceId> {
        val zoneOf = members.associate { it.instance to it.zone }
        val countByZone = HashMap<AvailabilityZone, Int>()
        return order(key, members.map { it.instance })
            .map { it to countByZone.merge(zoneOf.getValue(it), 1, Int::plus) }
            .sortedBy { (_, rankInZone) -> rankInZone }
            .map { (instance, _) -> instance }
    }

    /**
     * Returns the index of [self] in [zoneBalancedOrder], or the number of members if it is not
     * included.
     */
    fun zoneBalancedRank(key: String, self: InstanceId, members: List<Member>): Int {
        val index = zoneBalancedOrder(key, members).indexOf(self)
        return if (index < 0) members.size else index
    }

    private fun weight(key: String, instance: InstanceId): Long {
        var hash = FNV_OFFSET
        for (char in "$key/$instance") hash = (hash xor char.code.toLong()) * FNV_PRIME
        hash = (hash xor (hash ushr MIX_SHIFT)) * MIX_FACTOR
        return hash xor (hash ushr MIX_SHIFT)
    }
}
