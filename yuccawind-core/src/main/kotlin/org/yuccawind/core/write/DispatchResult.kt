package org.yuccawind.core.write

import org.yuccawind.core.port.Answer
import org.yuccawind.core.result.Refusal

/** Result of sending one command to a primary. */
internal sealed interface DispatchResult {
    /** The primary answered. */
    data class Answered(val answer: Answer) : DispatchResult

    /** The command did not run, and a retry would not help. */
    data class Refused(val refusal: Refusal) : DispatchResult

    /** The command did not run; a retry may succeed. */
    data class NotRun(val refusal: Refusal) : DispatchResult

    /** The command may have run, or may still run. */
    data class Unknown(val detail: String) : DispatchResult
}
