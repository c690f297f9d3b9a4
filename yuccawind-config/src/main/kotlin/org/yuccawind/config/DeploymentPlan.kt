package org.yuccawind.config

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlScalar
import org.yuccawind.core.config.ServiceConfig
import org.yuccawind.core.model.ServiceName

/**
 * The changes that applying a deployment would make.
 *
 * @property steps one for each service that changes, sorted by name
 * @property kept current services that the deployment does not contain and that are not deleted
 */
data class DeploymentPlan(val steps: List<PlanStep>, val kept: List<ServiceName>) {
    companion object {
        /**
         * Compares the [current] services with the [desired] deployment. With [delete], services
         * that [desired] does not contain are deleted, otherwise they are kept.
         */
        fun of(current: List<ServiceConfig>, desired: Deployment, delete: Boolean): DeploymentPlan {
            val old = current.associateBy { it.name }
            val new = desired.services.associateBy { it.name }
            val missing = (old.keys - new.keys).sortedBy { it.value }
            val steps = new.values.mapNotNull { step(old[it.name], it) } +
                if (delete) missing.map { PlanStep.Delete(it) } else emptyList()
            val kept = if (delete) emptyList() else missing
            return DeploymentPlan(steps.sortedBy { it.service.value }, kept)
        }

        private fun step(old: ServiceConfig?, new: ServiceConfig): PlanStep? {
            if (old == null) return PlanStep.Create(new.name, differences(emptyMap(), fields(new)))
            val lines = differences(fields(old), fields(new))
            return if (lines.isEmpty()) null else PlanStep.Change(new.name, lines)
        }

        private fun differences(old: Map<String, String>, new: Map<String, String>) =
            (old.keys + new.keys).distinct().filter { old[it] != new[it] }.map { path ->
                when {
                    path !in old -> "+ $path: ${new[path]}"
                    path !in new -> "- $path: ${old[path]}"
                    else -> "~ $path: ${old[path]} -> ${new[path]}"
                }
            }

        private fun fields(service: ServiceConfig): Map<String, String> {
            val sorted = Deployment(listOf(service)).sorted().services.single()
            val text = DEPLOYMENT_YAML.encodeToString(ServiceConfig.serializer(), sorted)
            val values = LinkedHashMap<String, String>()
            flatten(DEPLOYMENT_YAML.parseToYamlNode(text), "", values)
            return values - "name"
        }

        private fun flatten(node: YamlNode, path: String, values: MutableMap<String, String>) {
            when (node) {
                is YamlMap -> node.entries.forEach { (key, value) ->
                    flatten(
                        value,
                        if (path.isEmpty()) key.content else "$path.${key.content}",
                        values
                    )
                }

                is YamlList -> node.items.forEachIndexed { index, item ->
                    flatten(item, "$path[${itemName(item) ?: index}]", values)
                }

                is YamlScalar -> values[path] = node.content

                else -> values[path] = "none"
            }
        }

        private fun itemName(node: YamlNode) = (node as? YamlMap)?.get<YamlScalar>("name")?.content
    }
}

/** A change of one service. */
sealed interface PlanStep {
    /** The service. */
    val service: ServiceName

    /** The differences, one line for each field. */
    val lines: List<String>

    /** Creates the service. */
    data class Create(override val service: ServiceName, override val lines: List<String>) :
        PlanStep

    /** Changes fields of the service. */
    data class Change(override val service: ServiceName, override val lines: List<String>) :
        PlanStep

    /** Deletes the service. */
    data class Delete(override val service: ServiceName) : PlanStep {
        override val lines: List<String> get() = emptyList()
    }
}
