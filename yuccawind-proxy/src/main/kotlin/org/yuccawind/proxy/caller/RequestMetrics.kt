package org.yuccawind.proxy.caller

import kotlin.time.Duration
import org.yuccawind.core.result.ResultCode

/** Records metrics of caller requests. */
internal fun interface RequestMetrics {
    /** Records a completed [operation]; [refusal] is its result code, or null if it succeeded. */
    fun record(operation: String, refusal: ResultCode?, elapsed: Duration)
}
