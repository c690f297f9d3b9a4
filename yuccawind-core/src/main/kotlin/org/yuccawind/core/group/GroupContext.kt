package org.yuccawind.core.group

import kotlin.random.Random
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import org.yuccawind.core.fleet.FleetView
import org.yuccawind.core.fleet.HomeProofs
import org.yuccawind.core.link.ServerConnector
import org.yuccawind.core.port.DecisionLog
import org.yuccawind.core.time.SuspensionDetector

/**
 * What all groups of one instance share.
 *
 * @property scope runs background work; its dispatcher confines the groups' state to one thread
 * @property time the clock
 * @property connector opens connections
 * @property log receives a line for each decision
 * @property suspensions tells since when ages by [time] can be trusted
 * @property fleet the live instances
 * @property homes asks the homes of a service
 * @property random spreads what many instances would do at the same moment
 */
class GroupContext(
    val scope: CoroutineScope,
    val time: TimeSource.WithComparableMarks,
    val connector: ServerConnector,
    val log: DecisionLog,
    val suspensions: SuspensionDetector,
    val fleet: FleetView,
    val homes: HomeProofs,
    val random: Random = Random
)
