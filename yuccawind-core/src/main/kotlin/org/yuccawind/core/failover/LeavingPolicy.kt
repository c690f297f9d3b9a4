package org.yuccawind.core.failover

import kotlin.time.Duration.Companion.milliseconds
import org.yuccawind.core.membership.ClusterView
import org.yuccawind.core.model.BackendServerName

private val CONFIRMED_AFTER = 250.milliseconds
private val CLOSED_AFTER = 900.milliseconds

/** Decides when to stop using a server that the platform's instance list shows as leaving. */
class LeavingPolicy(private val clusterView: ClusterView) {
    /** Returns true while the list shows [server] as leaving: no new reads or connections. */
    fun isLeaving(server: BackendServerName): Boolean = clusterView.leavingFor(server) != null

    /**
     * Returns true once the list has shown [server] as leaving without interruption for long enough
     * to start a hand-over. This keeps a flapping list from causing hand-overs.
     */
    fun isConfirmed(server: BackendServerName): Boolean =
        clusterView.leavingFor(server)?.let { it >= CONFIRMED_AFTER } ?: false

    /**
     * Returns true once no new writes may be sent to [server], a leaving primary, whether or not
     * the hand-over has succeeded.
     */
    fun isClosed(server: BackendServerName): Boolean =
        clusterView.leavingFor(server)?.let { it >= CLOSED_AFTER } ?: false
}
