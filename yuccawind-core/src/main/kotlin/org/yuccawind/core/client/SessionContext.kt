package org.yuccawind.core.client

import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import org.yuccawind.core.admission.RefusalLog
import org.yuccawind.core.group.ServerGroup
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.port.DecisionLog
import org.yuccawind.core.route.RoutingConfig
import org.yuccawind.core.workspace.OperationLimiter

/**
 * Dependencies of client sessions that the instance provides.
 *
 * @property config returns the current configuration
 * @property groups returns the server group of a service, or null when no route uses it
 * @property scope scope of coroutines that may outlive a statement
 * @property time clock for deadlines and elapsed times
 * @property log receives one line per routing decision
 * @property observer notified of each answer sent to a client
 * @property limiter enforces the rate limits of workspaces
 * @property stateLimit limit on the variables and prepared statements of a session
 */
class SessionContext(
    val config: () -> RoutingConfig,
    val groups: (ServiceName) -> ServerGroup?,
    val scope: CoroutineScope,
    val time: TimeSource.WithComparableMarks,
    val log: DecisionLog,
    val observer: StatementObserver = StatementObserver.NONE,
    val limiter: OperationLimiter = OperationLimiter.NONE,
    val stateLimit: SessionStateLimit = SessionStateLimit.NONE
) {
    /** Tells the operator which statements are refused, and why. */
    internal val refusals = RefusalLog(time, log)
}
