package org.yuccawind.core.group

import kotlin.random.Random
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import org.yuccawind.core.fleet.FleetView
import org.yuccawind.core.fleet.HomeProofClient
import org.yuccawind.core.link.ServerConnector
import org.yuccawind.core.port.DecisionLog
import org.yuccawind.core.time.SuspensionDetector

/**
 * Dependencies shared by all server groups of one instance.
 *
 * @property scope scope of background jobs; its dispatcher confines the groups' state to one thread
 * @property time monotonic clock
 * @property connector opens connections to backend servers
 * @property log log of decisions
 * @property suspensions detects suspensions of this process, before which ages measured with
 *   [time] are not reliable
 * @property fleet view of the live instances
 * @property homes client for proofs held by the home instances of a service
 * @property random source of jitter, so that instances do not act at the same moment
 * @property learnsServerLimits true if the instances learn how much each server takes well, and
 *   place reads by it
 */
class GroupContext(
    val scope: CoroutineScope,
    val time: TimeSource.WithComparableMarks,
    val connector: ServerConnector,
    val log: DecisionLog,
    val suspensions: SuspensionDetector,
    val fleet: FleetView,
    val homes: HomeProofClient,
    val random: Random = Random,
    val learnsServerLimits: Boolean = false
)
