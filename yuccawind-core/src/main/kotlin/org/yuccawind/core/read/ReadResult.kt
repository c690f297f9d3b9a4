package org.yuccawind.core.read

import kotlin.time.Duration
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServerRole

/**
 * Result of a read.
 *
 * @property rows rows that the statement returned
 * @property server server that answered
 * @property role role of the server when it was chosen
 * @property end log point that the data includes
 * @property age maximum age of the data; null when no certificate covers it
 */
data class ReadResult(
    val rows: List<String>,
    val server: BackendServerName,
    val role: ServerRole,
    val end: LogPoint,
    val age: Duration?
)
