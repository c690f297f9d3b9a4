package org.yuccawind.proxy.log

import ch.qos.logback.classic.LoggerContext
import org.slf4j.LoggerFactory

/** The way of log lines to standard output. */
object LogOutput {
    /** Writes every line that still waits; nothing is logged afterwards. */
    fun close() {
        (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
    }
}
