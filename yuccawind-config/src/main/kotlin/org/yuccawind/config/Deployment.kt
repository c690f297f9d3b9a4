package org.yuccawind.config

import arrow.core.Either
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlConfiguration
import kotlinx.serialization.Serializable
import org.yuccawind.core.config.ServiceConfig

/**
 * The configuration of all services that operators review and apply together.
 *
 * @property services the services
 */
@Serializable
data class Deployment(val services: List<ServiceConfig>) {
    /** Returns all validation errors; empty when the deployment can be applied. */
    fun errors(): List<ConfigIssue> = DeploymentRules.errors(this)

    /** Returns settings that are valid but risky. */
    fun warnings(): List<ConfigIssue> = DeploymentRules.warnings(this)

    /** Returns a copy with services, backend servers and read kinds sorted by name. */
    fun sorted() = Deployment(services.map(::sorted).sortedBy { it.name.value })

    /** Encodes as YAML with a stable order: sorted by name, defaults included. */
    fun toYaml(): String = DEPLOYMENT_YAML.encodeToString(serializer(), sorted()) + "\n"

    private fun sorted(service: ServiceConfig) = service.copy(
        backendServers = service.backendServers.sortedBy { it.name.value },
        readKinds = service.readKinds.sortedBy { it.name }
    )

    companion object {
        /** Parses and validates YAML; returns the sorted deployment or all errors of [text]. */
        fun parse(text: String): Either<List<ConfigIssue>, Deployment> =
            DeploymentParser.parse(text)
    }
}

internal val DEPLOYMENT_YAML = Yaml(
    configuration = YamlConfiguration(encodeDefaults = true, strictMode = true)
)
