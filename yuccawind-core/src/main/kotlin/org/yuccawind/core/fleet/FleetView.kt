package org.yuccawind.core.fleet

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.yuccawind.core.link.LinkBudget
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.port.InstanceEntry

/**
 * Time for which an instance counts as live after it was last on the list. The store may lose
 * entries of live instances, which write them again within two reads of the list.
 */
private val PRESENCE_TTL = 5.seconds

/**
 * Time without a list that counts as an outage of the platform. Entries that expired during an
 * outage are renewed within about two seconds after it, so the outage does not count as absence.
 */
private val OUTAGE_THRESHOLD = 3_500.milliseconds

/**
 * Time after the first list before homes are assigned. When all instances start at once, the first
 * entries on the list would otherwise become homes of every service.
 */
private val SETTLING_TIME = 1_000.milliseconds

/**
 * View of the live instances according to the platform's list, and of the homes of each service.
 * Confined to the event loop. The views of two instances may differ for seconds, which affects
 * efficiency but not safety.
 *
 * @property self entry of this instance
 * @param settlingTime time after the first list before homes are assigned
 */
class FleetView(
    val self: InstanceEntry,
    private val time: TimeSource.WithComparableMarks,
    private val settlingTime: Duration = SETTLING_TIME
) {
    private val lastSeenAt = HashMap<InstanceEntry, ComparableTimeMark>()
    private var lastListAt: ComparableTimeMark? = null
    private val homes = HashMap<HomesKey, List<InstanceEntry>>()
    private var zonePlatformReaders: List<InstanceEntry>? = null
    private var firstListAt: ComparableTimeMark? = null
    private var live: List<InstanceEntry> = listOf(self)

    /** Zone of this instance. */
    val zone: AvailabilityZone get() = self.zone

    /** Number of live instances, including this one. */
    val size: Int get() = live.size

    /** The other live instances. */
    val others: List<InstanceEntry> get() = live.filter { it.name != self.name }

    /** The live instances, including this one, by name. The list is replaced when it changes. */
    val instances: List<InstanceEntry> get() = live

    /** True once the list was known for long enough to assign work by it. */
    val isSettled get() = firstListAt?.let { it.elapsedNow() >= settlingTime } == true

    /** Applies [entries], newly read from the platform. */
    fun onList(entries: List<InstanceEntry>) {
        val now = time.markNow()
        if (firstListAt == null) firstListAt = now
        val gap = lastListAt?.elapsedNow()
        if (gap != null && gap >= OUTAGE_THRESHOLD) lastSeenAt.replaceAll { _, seen -> seen + gap }
        lastListAt = now
        entries.forEach { entry ->
            // The entry of an instance that restarted at another address replaces the former one.
            lastSeenAt.keys.removeIf { it.name == entry.name && it != entry }
            lastSeenAt[entry] = now
        }
        lastSeenAt.values.removeIf { it.elapsedNow() > PRESENCE_TTL }
        val next = (lastSeenAt.keys.filter { it.name != self.name } + self).sortedBy { it.name }
        if (next == live) return
        live = next
        homes.clear()
        zonePlatformReaders = null
    }

    /** Returns the homes of [service], whose servers accept [maxConnections] connections each. */
    fun homesOf(service: ServiceName, maxConnections: Int): List<InstanceEntry> =
        homes.getOrPut(HomesKey(service, maxConnections)) {
            HomeAssignment.homesOf(service, maxConnections, live)
        }

    /** Returns true if this instance is a home of [service]. */
    fun isHome(service: ServiceName, maxConnections: Int) =
        isSettled && self in homesOf(service, maxConnections)

    /**
     * Returns the instances of this zone that read the platform on behalf of the others. Empty in a
     * fleet so small that each instance reads for itself.
     */
    fun platformReaders(): List<InstanceEntry> {
        if (!isSettled || live.size <= HomeAssignment.MAX_HOMES) return emptyList()
        return zonePlatformReaders
            ?: HomeAssignment.platformReadersAmong(live.filter { it.zone == zone })
                .also { zonePlatformReaders = it }
    }

    /**
     * Returns this instance's part of the connections to a server of [service] that accepts
     * [maxConnections].
     */
    internal fun linkBudget(service: ServiceName, maxConnections: Int) = LinkBudget(
        maxConnections,
        instances = live.size.takeIf { isSettled },
        homes = homesOf(service, maxConnections).size,
        isHome = isHome(service, maxConnections)
    )

    private data class HomesKey(val service: ServiceName, val maxConnections: Int)
}
