package org.yuccawind.cli

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import java.io.File
import java.io.IOException
import kotlinx.serialization.Serializable

/**
 * How to reach the administration interface of an instance.
 *
 * @property address IP address and port, or null
 * @property operatorKey the operator key, or null
 */
@Serializable
internal class CliSettings(val address: String? = null, val operatorKey: String? = null) {
    companion object {
        private const val SETTINGS_VARIABLE = "YUCCAWIND_SETTINGS"

        /** Merges the settings file with the options; options take precedence. */
        fun of(arguments: Arguments): CliSettings {
            val file = arguments.option("settings") ?: System.getenv(SETTINGS_VARIABLE)
            val settings = file?.let { load(File(it)) } ?: CliSettings()
            val key = arguments.option("key-file")?.let { read(File(it)).trim() }
            return CliSettings(
                arguments.option("address") ?: settings.address,
                key ?: settings.operatorKey
            )
        }

        private fun load(file: File): CliSettings = try {
            Yaml.default.decodeFromString(serializer(), read(file))
        } catch (e: YamlException) {
            // The parser's message may quote the key, so only the line number is printed.
            failUsage("$file: line ${e.line}: expected the fields address, operatorKey")
        }

        private fun read(file: File): String = try {
            file.readText()
        } catch (e: IOException) {
            failUsage("$file: cannot be read: ${e.javaClass.simpleName}")
        }
    }
}
