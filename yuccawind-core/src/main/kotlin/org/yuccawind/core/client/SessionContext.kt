package org.yuccawind.core.client

import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import org.yuccawind.core.group.ServerGroup
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.port.DecisionLog
import org.yuccawind.core.route.RoutingConfig

/**
 * What a client's session learns from its instance.
 *
 * @property config the newest configuration
 * @property groups the group of each service that has a route
 * @property scope runs what outlives a statement
 * @property time the clock
 * @property log receives a line for each decision
 * @property observer is told of each answer
 */
class SessionContext(
    val config: () -> RoutingConfig,
    val groups: (ServiceName) -> ServerGroup?,
    val scope: CoroutineScope,
    val time: TimeSource.WithComparableMarks,
    val log: DecisionLog,
    val observer: StatementObserver = StatementObserver.NONE
)
