package org.yuccawind.core.pool

import org.yuccawind.core.port.BackendError
import org.yuccawind.core.result.Refusal

/** Why a command sent through the pool returned no answer. */
sealed interface PoolError {
    /** No connection could be acquired, so the command did not run. */
    data class Refused(val refusal: Refusal) : PoolError

    /** The backend server or the connection to it failed. */
    data class Backend(val error: BackendError) : PoolError
}
