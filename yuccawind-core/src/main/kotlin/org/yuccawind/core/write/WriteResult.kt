package org.yuccawind.core.write

import kotlinx.serialization.Serializable
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.result.ResultCode

/**
 * Result of an acknowledged write.
 *
 * @property code [ResultCode.OK], or [ResultCode.ALREADY_RAN] for an earlier attempt
 * @property rows rows that the statements returned
 * @property server the primary that ran it
 * @property point log point that later reads of the session must include
 */
@Serializable
data class WriteResult(
    val code: ResultCode,
    val rows: List<String>,
    val server: BackendServerName,
    val point: LogPoint
)
