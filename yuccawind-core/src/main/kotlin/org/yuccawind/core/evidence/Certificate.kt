package org.yuccawind.core.evidence

import kotlin.time.ComparableTimeMark
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.LogPoint

/**
 * Quorum certificate: proves that a log ending at or after [end] contains every write acknowledged
 * before [since].
 *
 * It results from one probe round, started at [since], in which a majority of the group reported
 * the primary's term as their fence. It relies on neither leases nor clocks of other machines.
 *
 * @property primary the server that answered as primary in the round
 * @property end end of the primary's log in the round
 * @property since start of the round, on this instance's clock
 */
data class Certificate(
    val primary: BackendServerName,
    val end: LogPoint,
    val since: ComparableTimeMark
)
