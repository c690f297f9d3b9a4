package org.yuccawind.core.link

import org.yuccawind.core.workspace.WorkspaceName

/**
 * The unused connections of a pool, the most recently used last.
 *
 * @param rateOf callers of a workspace per second
 */
internal class RestingLinks(private val rateOf: (WorkspaceName?) -> Double) {
    private val links = ArrayDeque<PooledLink>()

    /** Number of connections. */
    val size get() = links.size

    /** Number of connections that serve workspaces. */
    val ofWorkspaces get() = links.count { it.workspace != null }

    /** Number of connections without a workspace. */
    val own get() = size - ofWorkspaces

    /** Workspaces of the connections; null for those without one. */
    val workspaces: Set<WorkspaceName?> get() = links.mapTo(HashSet()) { it.workspace }

    /** Number of connections of [workspace]. */
    fun count(workspace: WorkspaceName?) = links.count { it.workspace == workspace }

    /** Adds [link], which was used just now. */
    fun add(link: PooledLink) = links.addLast(link)

    /** Removes and returns an open connection of [workspace], or null if there is none. */
    fun take(workspace: WorkspaceName?): PooledLink? {
        while (true) {
            val link = links.lastOrNull { it.workspace == workspace } ?: return null
            links.remove(link)
            if (link.isOpen) return link
        }
    }

    /** Removes and returns the connection without a workspace that has rested longest, or null. */
    fun takeOldestOwn(): PooledLink? = remove(oldestOwn)

    /** The connection without a workspace that has rested longest, or null. */
    val oldestOwn get() = links.firstOrNull { it.workspace == null }

    /** The connection of a workspace that has rested longest, or null. */
    val oldestOfWorkspaces get() = links.firstOrNull { it.workspace != null }

    /**
     * Removes and returns the connection that gives way: of the workspace with the fewest callers
     * for each of its unused connections, and of these the one that has rested longest. Null if no
     * connection of a workspace rests.
     */
    fun takeLeastUseful(): PooledLink? {
        val counts = links.groupingBy { it.workspace }.eachCount()
        return remove(
            links.filter { it.workspace != null }
                .minByOrNull { rateOf(it.workspace) / counts.getValue(it.workspace) }
        )
    }

    /** Removes [link] and returns it. */
    fun remove(link: PooledLink?): PooledLink? = link?.also { links.remove(it) }

    /** Closes and removes all connections. */
    fun closeAll() {
        while (links.isNotEmpty()) links.removeFirst().close()
    }
}
