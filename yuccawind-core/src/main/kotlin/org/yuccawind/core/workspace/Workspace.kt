package org.yuccawind.core.workspace

/** Name of a workspace, unique within a configuration. */
@JvmInline
value class WorkspaceName(val value: String) {
    override fun toString() = value
}

/**
 * A workspace: a customer's team whose clients share keys, connections and a rate limit.
 *
 * @property name its name, which servers are told
 * @property priority priority when callers compete for a server; 0 is the highest
 * @property limit limit of its operations over all instances together; null for none
 */
data class Workspace(val name: WorkspaceName, val priority: Int = 0, val limit: RateLimit? = null)

/**
 * Limit of a workspace's operations over all instances together.
 *
 * @property perSecond sustained rate in operations per second
 * @property burst operations allowed in addition to the sustained rate
 */
data class RateLimit(val perSecond: Double, val burst: Double)
