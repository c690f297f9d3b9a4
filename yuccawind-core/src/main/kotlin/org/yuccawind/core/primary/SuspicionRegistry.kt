package org.yuccawind.core.primary

import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServiceName

/**
 * Shared registry in which instances publish the primaries that do not answer them, so that a
 * single isolated instance does not replace a working primary. It only avoids needless changes;
 * safety depends on the fencing token of the promotion lease.
 */
interface SuspicionRegistry {
    /** Publishes that [server] does not answer this instance. The entry expires unless renewed. */
    suspend fun publish(service: ServiceName, server: BackendServerName)

    /** Withdraws this instance's suspicion of the primary of [service]. */
    suspend fun withdraw(service: ServiceName)

    /** Returns the instances that suspect [server], as last read; may be seconds old. */
    fun suspectingInstances(service: ServiceName, server: BackendServerName): Set<String>

    /**
     * Reads the live instances and returns those that suspect [server], or null if the registry
     * could not be read.
     */
    suspend fun readSuspectingInstances(
        service: ServiceName,
        server: BackendServerName
    ): Set<String>?
}

/**
 * Number of the instances monitoring a primary that suspect it.
 *
 * Only the homes of a service monitor its primary and count. Otherwise, when a zone is cut off,
 * every instance of a large fleet would read the whole registry at the same moment.
 *
 * @property suspecting number of homes that suspect the primary
 * @property homes number of homes believed to be live
 */
data class SuspicionCount(val suspecting: Int, val homes: Int) {
    /** True if more than half of the homes suspect the primary. */
    val isMajority get() = suspecting * 2 > homes

    /** Share of the homes that suspect the primary, from 0 to 1. */
    val share get() = if (homes == 0) 0.0 else suspecting.toDouble() / homes

    companion object {
        /** Counts the instances in [suspecting] that are among the [homes]. */
        fun of(suspecting: Set<String>, homes: Set<String>) =
            SuspicionCount(suspecting.count { it in homes }, homes.size)
    }
}
