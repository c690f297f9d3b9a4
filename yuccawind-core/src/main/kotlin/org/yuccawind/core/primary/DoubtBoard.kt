package org.yuccawind.core.primary

import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServiceName

/**
 * Where instances post which primaries do not answer them, so that one that is cut off alone
 * replaces nothing. It only tempers the decision: the duty's token keeps orders in sequence.
 */
interface DoubtBoard {
    /** Posts that [server] does not answer this instance; the post ends by itself soon. */
    suspend fun post(service: ServiceName, server: BackendServerName)

    /** Takes this instance's post back. */
    suspend fun withdraw(service: ServiceName)

    /** Instances that doubt [server], as last read; it may be seconds old. */
    fun doubters(service: ServiceName, server: BackendServerName): Set<String>

    /**
     * Reads the list of instances and who of them doubts [server]; null when the board could not be
     * read.
     */
    suspend fun readDoubters(service: ServiceName, server: BackendServerName): Set<String>?
}

/**
 * How many of the instances that watch a primary doubt it.
 *
 * The load this answers: a zone is cut, and every instance of a large fleet would read the whole
 * board at the same moment. Only the homes of a service watch its primary and count.
 *
 * @property doubters homes that doubt it
 * @property homes homes alive as far as is known
 */
data class Tally(val doubters: Int, val homes: Int) {
    /** True when more than half of the homes doubt the primary. */
    val isMajority get() = doubters * 2 > homes

    /** Part of the homes that doubt the primary. */
    val share get() = if (homes == 0) 0.0 else doubters.toDouble() / homes

    companion object {
        /** Counts the [doubters] that are among the [homes]. */
        fun of(doubters: Set<String>, homes: Set<String>) =
            Tally(doubters.count { it in homes }, homes.size)
    }
}
