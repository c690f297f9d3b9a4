package org.yuccawind.core.read

import kotlin.time.ComparableTimeMark
import org.yuccawind.core.config.ReadKind
import org.yuccawind.core.model.LogPoint

/**
 * Input of the read path.
 *
 * @property statement text for the database, opaque to the proxy
 * @property kind read kind, which bounds the age of the data
 * @property seen highest log point that the session has seen
 * @property arrivedAt when the request arrived
 * @property deadline latest time for the answer
 */
data class ReadRequest(
    val statement: String,
    val kind: ReadKind,
    val seen: LogPoint,
    val arrivedAt: ComparableTimeMark,
    val deadline: ComparableTimeMark
)
