package org.yuccawind.core.pool

private const val RESERVE_DIVISOR = 4
private const val BORROW_DIVISOR = 2

/**
 * This instance's share of a server's connection limit: a guaranteed part, plus connections
 * borrowed above it while the server reports headroom.
 *
 * The instances need no messages of their own to coordinate: status probes already report the
 * server's open connections.
 *
 * @property limit connections that the server accepts from all instances
 * @property instanceCount returns the number of entry instances believed alive
 */
internal class ConnectionShare(private val limit: Int, private val instanceCount: () -> Int) {
    /** Connections that this instance may always hold, regardless of the other instances. */
    val guaranteed get() = (limit / instanceCount().coerceAtLeast(1)).coerceAtLeast(1)

    /**
     * Connections that this instance may hold, given the [own] it already holds and the total
     * [open] that the server reports; null when no status has been received.
     */
    fun allowed(own: Int, open: Int?): Int {
        val reserve = limit / RESERVE_DIVISOR
        val headroom = if (open == null) 0 else limit - reserve - open
        val borrowed = if (headroom > 0) own + headroom / BORROW_DIVISOR else 0
        return maxOf(guaranteed, borrowed).coerceAtMost(limit)
    }
}
