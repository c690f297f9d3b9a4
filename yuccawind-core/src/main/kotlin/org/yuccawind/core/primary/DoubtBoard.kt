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

    /** Part of the instances that doubt [server], as last read; it may be seconds old. */
    fun doubtShare(service: ServiceName, server: BackendServerName): Double

    /** How many instances doubt [server]; null when the board could not be read. */
    suspend fun tally(service: ServiceName, server: BackendServerName): Tally?
}

/**
 * Instances that doubt a primary.
 *
 * @property doubters instances that doubt it
 * @property instances instances alive as far as is known
 */
data class Tally(val doubters: Int, val instances: Int) {
    /** True when more than half of the instances doubt the primary. */
    val isMajority get() = doubters * 2 > instances
}
