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

/** Libraries whose warnings duplicate events that the proxy logs itself. */
private val QUIET_LIBRARIES = listOf("com.linecorp.armeria", "io.netty")

/**
 * Configures Logback to write to standard output. The configuration is in code because parsing a
 * configuration file takes a tenth of the restart time. A file named by the standard Logback
 * property takes precedence.
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
        root.addAppender(createAppender(loggerContext))
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun createAppender(loggerContext: LoggerContext) = BatchingAppender().apply {
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
