package org.yuccawind.proxy.log

import ch.qos.logback.classic.LoggerContext
import org.slf4j.LoggerFactory

/** Controls the log output of the process. */
object LogOutput {
    /** Flushes queued log lines and stops logging. */
    fun close() {
        (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
    }
}
