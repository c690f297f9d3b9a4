package org.yuccawind.core.workspace.limit

import kotlin.time.Duration.Companion.milliseconds
import org.yuccawind.core.workspace.WorkspaceName

/** Constants that all instances must agree on. */
object ShareTerms {
    /** Time for which a share is promised. The keeper counts from its request, the giver later. */
    val TERM = 3_000.milliseconds

    /** Time from the request within which granted operations must start. */
    val GRANT_TTL = 200.milliseconds

    /** Number of shards of the workspaces; each has one keeper in the fault-free state. */
    const val SHARDS = 3

    /** Returns the shard of [workspace]. */
    fun shardOf(workspace: WorkspaceName) = Math.floorMod(workspace.value.hashCode(), SHARDS)
}
