package org.yuccawind.proxy.log

import io.github.oshai.kotlinlogging.Level

/** Maps log events to log levels. */
internal object EventLevels {
    private const val PER_REQUEST_SUFFIX = "_route"
    private val WARNING_EVENTS = setOf("failover_start", "peer_closed")
    private val WARNING_SUFFIXES = listOf("_failed", "_lost", "_refused", "_rejected", "_silent")

    /** Returns WARN for events that report a failure and INFO for all others. */
    fun of(event: String): Level = if (isWarning(event)) Level.WARN else Level.INFO

    /** True for events that are logged once per request. */
    fun isPerRequest(event: String) = event.endsWith(PER_REQUEST_SUFFIX)

    private fun isWarning(event: String) =
        event in WARNING_EVENTS || WARNING_SUFFIXES.any(event::endsWith)
}
