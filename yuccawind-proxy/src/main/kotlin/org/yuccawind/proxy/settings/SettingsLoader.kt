package org.yuccawind.proxy.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlConfiguration
import com.charleskorn.kaml.YamlException
import io.netty.util.NetUtil
import java.io.File
import java.io.IOException

private const val MIN_KEY_LENGTH = 16
private val PORTS = 1..65_535
private val DRAIN_MS_RANGE = 0L..600_000L

/** Loads and validates a settings file. */
object SettingsLoader {
    private val yaml = Yaml(configuration = YamlConfiguration(strictMode = true))

    /** Returns the settings in [file], or a one-line error with file, field and allowed values. */
    fun load(file: File): Either<String, DaemonSettings> {
        val text = try {
            file.readText()
        } catch (e: IOException) {
            return "$file: cannot be read: ${e.message}".left()
        }
        val settings = try {
            yaml.decodeFromString(DaemonSettings.serializer(), text)
        } catch (e: YamlException) {
            val found = e.message.lineSequence().first()
            return "$file: ${e.path.toHumanReadableString()}: $found".left()
        }
        val error = validate(settings).firstOrNull()
        return error?.let { "$file: $it".left() } ?: settings.right()
    }

    private fun validate(settings: DaemonSettings): List<String> = listOfNotNull(
        checkName("instance", settings.instance),
        checkName("zone", settings.zone),
        checkPort("callers.port", settings.callers),
        checkPort("operators.port", settings.operators),
        checkPort("peers.port", settings.peers),
        checkAddress("platform", settings.platform),
        checkOperatorKey(settings.operatorKey),
        checkDrainMs(settings.drainMs)
    )

    private fun checkName(field: String, value: String) =
        if (value.isBlank()) "$field: found nothing, expected a name" else null

    private fun checkPort(field: String, endpoint: Endpoint) = if (endpoint.port in PORTS) {
        null
    } else {
        "$field: found ${endpoint.port}, allowed ${PORTS.first} to ${PORTS.last}"
    }

    private fun checkAddress(field: String, value: String): String? {
        val port = value.substringAfterLast(':', "").toIntOrNull()
        val host = value.substringBeforeLast(':').removeSurrounding("[", "]")
        return if (port != null && port in PORTS && isIpAddress(host)) {
            null
        } else {
            "$field: found '$value', allowed IP:PORT with a port of ${PORTS.first} to ${PORTS.last}"
        }
    }

    private fun isIpAddress(host: String) =
        NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host)

    private fun checkOperatorKey(value: String) = if (value.length >= MIN_KEY_LENGTH) {
        null
    } else {
        "operatorKey: found ${value.length} characters, allowed $MIN_KEY_LENGTH or more"
    }

    private fun checkDrainMs(value: Long) = if (value in DRAIN_MS_RANGE) {
        null
    } else {
        "drainMs: found $value, allowed ${DRAIN_MS_RANGE.first} to ${DRAIN_MS_RANGE.last}"
    }
}
