package org.yuccawind.core.workspace.limit

import org.yuccawind.core.workspace.RateLimit
import org.yuccawind.core.workspace.WorkspaceName

/** Decides how many operations of a workspace may start. */
interface Granter {
    /** Takes up to [wanted] operations of [workspace] from its [limit]; returns how many. */
    fun take(workspace: WorkspaceName, limit: RateLimit, wanted: Int): Int

    /** Called after each change of the share that the keeper holds. */
    fun onShareChange()
}
