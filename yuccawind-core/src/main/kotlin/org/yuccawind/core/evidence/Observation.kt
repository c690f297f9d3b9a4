package org.yuccawind.core.evidence

import kotlin.time.ComparableTimeMark
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServerStatus

/**
 * A status report of one backend server.
 *
 * @property server the server that sent the report
 * @property status the reported status
 * @property sentAt when the probe was sent, on this instance's clock
 * @property receivedAt when the report arrived, on the same clock
 */
data class Observation(
    val server: BackendServerName,
    val status: ServerStatus,
    val sentAt: ComparableTimeMark,
    val receivedAt: ComparableTimeMark
)
