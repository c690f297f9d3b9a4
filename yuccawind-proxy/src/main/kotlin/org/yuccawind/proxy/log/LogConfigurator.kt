package org.yuccawind.proxy.log

import ch.qos.logback.classic.ClassicConstants.CONFIG_FILE_PROPERTY
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus
import ch.qos.logback.classic.spi.ConfiguratorRank
import ch.qos.logback.core.spi.ContextAwareBase
import org.slf4j.Logger.ROOT_LOGGER_NAME

private const val LINE_PATTERN =
    "ts=%d{\"yyyy-MM-dd'T'HH:mm:ss.SSSXXX\", UTC} level=%level %msg%n"

/** Libraries whose warnings tell nothing that an event of ours does not tell. */
private val QUIET_LIBRARIES = listOf("com.linecorp.armeria", "io.netty")

/**
 * Sends log lines to standard output. It stands in code because reading a configuration file takes
 * a tenth of a restart; a file that is named by the usual property goes first.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
class LogConfigurator :
    ContextAwareBase(),
    Configurator {
    override fun configure(loggerContext: LoggerContext): ExecutionStatus {
        if (System.getProperty(CONFIG_FILE_PROPERTY) != null) {
            return ExecutionStatus.INVOKE_NEXT_IF_ANY
        }
        QUIET_LIBRARIES.forEach { loggerContext.getLogger(it).level = Level.ERROR }
        val root = loggerContext.getLogger(ROOT_LOGGER_NAME)
        root.level = Level.INFO
        root.addAppender(appender(loggerContext))
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun appender(loggerContext: LoggerContext) = BatchingAppender().apply {
        name = "OUT"
        context = loggerContext
        encoder = PatternLayoutEncoder().also {
            it.context = loggerContext
            it.pattern = LINE_PATTERN
            it.start()
        }
        start()
    }
}
