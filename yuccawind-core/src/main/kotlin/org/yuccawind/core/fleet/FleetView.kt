package org.yuccawind.core.fleet

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.port.InstanceEntry

/**
 * Time for which an instance counts after it was last seen on the list. The store may lose the
 * listings of live instances, which then write them again within two reads of the list.
 */
private val PRESENCE_MEMORY = 5.seconds

/**
 * Time without a list that counts as an outage of the platform. Listings that lapsed meanwhile come
 * back within about two seconds of its end, so such time is not counted as absence.
 */
private val OUTAGE_GAP = 3_500.milliseconds

/**
 * Time after the first list in which nobody is home yet: when all instances start at once, the
 * first ones on the list would all be home to everything.
 */
private val SETTLING_TIME = 1_000.milliseconds

/**
 * The live instances, as the platform's list shows them, and which of them are home to a service.
 * Confined to the event loop. Two instances may disagree for seconds; nothing unsafe follows.
 *
 * @property self this instance
 * @param settlingTime time after the first list in which nobody is home yet
 */
class FleetView(
    val self: InstanceEntry,
    private val time: TimeSource.WithComparableMarks,
    private val settlingTime: Duration = SETTLING_TIME
) {
    private val seenAt = HashMap<InstanceEntry, ComparableTimeMark>()
    private var listedAt: ComparableTimeMark? = null
    private val homes = HashMap<HomesKey, List<InstanceEntry>>()
    private var zoneReaders: List<InstanceEntry>? = null
    private var firstListAt: ComparableTimeMark? = null
    private var known: List<InstanceEntry> = listOf(self)

    /** The zone of this instance. */
    val zone: AvailabilityZone get() = self.zone

    /** Instances that were on the list lately, and this one. */
    val size: Int get() = known.size

    private val isSettled get() = firstListAt?.let { it.elapsedNow() >= settlingTime } == true

    /** Takes in the platform's list. */
    fun onList(entries: List<InstanceEntry>) {
        val now = time.markNow()
        if (firstListAt == null) firstListAt = now
        val gap = listedAt?.elapsedNow()
        if (gap != null && gap >= OUTAGE_GAP) seenAt.replaceAll { _, seen -> seen + gap }
        listedAt = now
        entries.forEach { entry ->
            // An instance that restarted at another address replaces its former entry.
            seenAt.keys.removeIf { it.name == entry.name && it != entry }
            seenAt[entry] = now
        }
        seenAt.values.removeIf { it.elapsedNow() > PRESENCE_MEMORY }
        val next = (seenAt.keys.filter { it.name != self.name } + self).sortedBy { it.name }
        if (next == known) return
        known = next
        homes.clear()
        zoneReaders = null
    }

    /** The homes of [service], whose servers accept [maxConnections] each. */
    fun homesOf(service: ServiceName, maxConnections: Int): List<InstanceEntry> =
        homes.getOrPut(HomesKey(service, maxConnections)) {
            Homes.of(service, maxConnections, known)
        }

    /** True when this instance is home to [service]. */
    fun isHome(service: ServiceName, maxConnections: Int) =
        isSettled && self in homesOf(service, maxConnections)

    /**
     * Instances of this zone that read the platform for the others; empty in a fleet so small that
     * each reads for itself.
     */
    fun readers(): List<InstanceEntry> {
        if (!isSettled || known.size <= Homes.MAX_HOMES) return emptyList()
        return zoneReaders ?: Homes.readersAmong(known.filter { it.zone == zone })
            .also { zoneReaders = it }
    }

    /** True when every instance may keep a connection to a server that accepts [maxConnections]. */
    fun hasShare(maxConnections: Int) =
        isSettled && known.size <= Homes.keptConnections(maxConnections)

    private data class HomesKey(val service: ServiceName, val maxConnections: Int)
}
