package org.yuccawind.config

/**
 * An error or a warning about a configuration.
 *
 * @property path path of the field, for example `services[0].backendServers[2].address`
 * @property detail what was found and what is allowed, in one line
 * @property line line of the YAML text, counted from 1; null when there is no text
 */
data class ConfigIssue(val path: String, val detail: String, val line: Int? = null) {
    override fun toString() = line?.let { "line $it: $path: $detail" } ?: "$path: $detail"
}
