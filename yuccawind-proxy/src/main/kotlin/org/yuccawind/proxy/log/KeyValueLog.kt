package org.yuccawind.proxy.log

import io.github.oshai.kotlinlogging.KotlinLogging
import org.yuccawind.core.port.DecisionLog

private val EVENT_LOG = KotlinLogging.logger("yuccawind")

/**
 * Logs each event as one line of key=value pairs. Disabled events are not formatted.
 *
 * @property logsPerRequestEvents false disables events that are logged once per request
 */
class KeyValueLog(private val logsPerRequestEvents: Boolean) : DecisionLog {
    override fun record(event: String, vararg fields: Pair<String, Any?>) {
        if (!logsPerRequestEvents && EventLevels.isPerRequest(event)) return
        EVENT_LOG.at(EventLevels.of(event)) { message = KeyValueLine.format(event, fields) }
    }
}
