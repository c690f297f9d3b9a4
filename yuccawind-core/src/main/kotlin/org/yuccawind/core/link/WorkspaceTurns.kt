package org.yuccawind.core.link

import org.yuccawind.core.workspace.WorkspaceName

/** Order in which workspaces were last given a connection to wait for. */
internal class WorkspaceTurns {
    private val lastTurns = HashMap<WorkspaceName?, Long>()
    private var count = 0L

    /** Records that a waiting caller of [workspace] got a connection. */
    fun record(workspace: WorkspaceName?) {
        lastTurns[workspace] = ++count
    }

    /** Returns the number of the last turn of [workspace]; 0 if it had none. */
    fun lastTurnOf(workspace: WorkspaceName?): Long = lastTurns[workspace] ?: 0
}
