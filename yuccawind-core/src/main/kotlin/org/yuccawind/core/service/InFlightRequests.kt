package org.yuccawind.core.service

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Counts the requests in progress on a runtime and rejects new ones once it is closed. */
internal class InFlightRequests {
    private val lock = ReentrantLock()
    private var count = 0
    private var isClosed = false

    /** Registers a request; returns false if the runtime is closed. */
    fun tryEnter(): Boolean = lock.withLock {
        if (!isClosed) count++
        !isClosed
    }

    /** Unregisters a request. */
    fun exit() = lock.withLock { count-- }

    /** Closes if no request is in progress and [isIdle] returns true; returns true once closed. */
    fun closeIf(isIdle: () -> Boolean): Boolean = lock.withLock {
        if (count == 0 && isIdle()) isClosed = true
        isClosed
    }
}
