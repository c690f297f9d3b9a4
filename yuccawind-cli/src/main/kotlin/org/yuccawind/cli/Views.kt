package org.yuccawind.cli

import kotlinx.serialization.Serializable
import org.yuccawind.config.Deployment
import org.yuccawind.config.DeploymentPlan
import org.yuccawind.config.PlanStep
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.result.ResultCode
import org.yuccawind.core.wire.AdminReply
import org.yuccawind.core.wire.ConfigView

/** Returns the value of the reply; fails with the code and detail of a refusal. */
internal fun <T> AdminReply<T>.valueOrFail(): T {
    if (code != ResultCode.OK.number) fail("$code $name: ${detail.orEmpty()}")
    return value ?: fail("$code $name: the reply is empty")
}

/** An error in a configuration file, as JSON. */
@Serializable
internal data class ConfigIssueView(val path: String, val line: Int?, val detail: String)

/**
 * The changes that applying a file would make.
 *
 * @property revision revision of the configuration that the file was compared with
 * @property ageMs milliseconds since that revision was last known to be the newest, or null
 * @property steps services that change
 * @property kept current services that the file does not contain and that are not deleted
 */
@Serializable
internal data class PlanView(
    val revision: Long,
    val ageMs: Long?,
    val steps: List<StepView>,
    val kept: List<ServiceName>
) {
    /** Formats the plan as text. */
    fun lines(): List<String> = steps.flatMap { step ->
        listOf("${step.action} ${step.service} (revision ${step.revision})") +
            step.lines.map { "    $it" }
    } + kept.map { "keep $it: not in the file; --delete would delete it" } +
        "changes=${steps.size} revision=$revision age_ms=$ageMs"

    companion object {
        /** Compares the [current] configuration with the [desired] deployment. */
        fun of(current: ConfigView, desired: Deployment, delete: Boolean): PlanView {
            val configs = current.services.mapNotNull { it.config }
            val plan = DeploymentPlan.of(configs, desired, delete)
            val revisions = current.services.associate { it.service to it.revision }
            val steps = plan.steps.map {
                StepView(action(it), it.service, revisions[it.service] ?: 0, it.lines)
            }
            return PlanView(current.revision, current.ageMs, steps, plan.kept)
        }

        private fun action(step: PlanStep) = when (step) {
            is PlanStep.Create -> "create"
            is PlanStep.Change -> "change"
            is PlanStep.Delete -> "delete"
        }
    }
}

/** A change of one service; [revision] is the current one, or 0 for a new service. */
@Serializable
internal data class StepView(
    val action: String,
    val service: ServiceName,
    val revision: Long,
    val lines: List<String>
)

/** The term and log position in a session token for one service. */
@Serializable
internal data class SessionPointView(val service: ServiceName, val term: Long, val position: Long)
