package org.yuccawind.cli

import java.io.File
import java.io.IOException
import java.time.Instant
import java.util.UUID
import kotlin.time.TimeSource
import kotlinx.coroutines.delay
import kotlinx.serialization.builtins.ListSerializer
import org.yuccawind.config.Deployment
import org.yuccawind.config.DeploymentPlan
import org.yuccawind.core.result.ResultCode
import org.yuccawind.core.wire.AdminReply
import org.yuccawind.core.wire.ApplyCall
import org.yuccawind.core.wire.ApplyView
import org.yuccawind.core.wire.ConfigView
import org.yuccawind.core.wire.HistoryView
import org.yuccawind.core.wire.RolloutCall
import org.yuccawind.core.wire.RolloutView

private const val ROLLOUT_POLL_MS = 200L
private const val ROLLOUT_TIMEOUT_MS = 60_000L

/** The commands for configuration. */
internal object ConfigCommands {
    val ALL = listOf(
        Command(
            listOf("config", "check"),
            listOf("FILE"),
            summary = "list all errors of a file; needs no instance",
            run = ::check
        ),
        Command(
            listOf("config", "plan"),
            listOf("FILE"),
            setOf("delete"),
            "show what the file would change, and the current revision",
            ::plan
        ),
        Command(
            listOf("config", "apply"),
            listOf("FILE"),
            setOf("revision", "wait", "delete", "author"),
            "apply the file; --wait until every instance has applied it",
            ::apply
        ),
        Command(
            listOf("config", "show"),
            summary = "print the current services as YAML",
            run = ::show
        ),
        Command(
            listOf("config", "history"),
            summary = "list accepted changes, newest first",
            run = ::history
        )
    )

    private suspend fun check(call: Invocation) {
        val deployment = read(call.operands.single(), call.output)
        call.output.show(Deployment.serializer(), deployment) {
            listOf("services=${deployment.services.size} faults=0")
        }
    }

    private suspend fun plan(call: Invocation) {
        val desired = read(call.operands.single(), call.output)
        val view = currentConfig(call)
        val plan = PlanView.of(view, desired, call.arguments.flag("delete"))
        call.output.show(PlanView.serializer(), plan, plan::lines)
    }

    private suspend fun apply(call: Invocation) {
        val desired = read(call.operands.single(), call.output)
        val body = ApplyCall(
            services = desired.services,
            deleted = if (call.arguments.flag("delete")) missing(call, desired) else emptyList(),
            revision = call.arguments.option("revision")?.let(::revision),
            author = call.arguments.option("author") ?: System.getenv("USER") ?: "unknown",
            nonce = UUID.randomUUID().toString()
        )
        val reply = call.admin.post(
            "/v1/config/apply",
            ApplyCall.serializer(),
            body,
            ApplyView.serializer()
        )
        if (reply.code == ResultCode.CONFIG_CONFLICT.number) failConflict(call, desired, reply)
        val view = reply.valueOrFail()
        if (call.arguments.flag("wait")) awaitRollout(call, view)
        call.output.show(ApplyView.serializer(), view) {
            view.accepted.map { "accepted service=${it.service} revision=${it.revision}" } +
                "accepted=${view.accepted.size} revision=${view.revision}"
        }
    }

    private suspend fun failConflict(
        call: Invocation,
        desired: Deployment,
        reply: AdminReply<ApplyView>
    ): Nothing {
        val plan = PlanView.of(currentConfig(call), desired, call.arguments.flag("delete"))
        call.output.show(PlanView.serializer(), plan, plan::lines)
        reply.valueOrFail()
        error("unreachable: valueOrFail fails for CONFIG_CONFLICT")
    }

    private suspend fun awaitRollout(call: Invocation, view: ApplyView) {
        val startedAt = TimeSource.Monotonic.markNow()
        var last = ""
        while (true) {
            val rollout = call.admin.post(
                "/v1/config/spread",
                RolloutCall.serializer(),
                RolloutCall(view.accepted),
                RolloutView.serializer()
            ).valueOrFail()
            val waiting = rollout.behind + rollout.silent
            val elapsed = startedAt.elapsedNow().inWholeMilliseconds
            val line = "in_force=${rollout.instances - waiting.size} of=${rollout.instances}" +
                if (waiting.isEmpty()) "" else " waiting_for=${waiting.joinToString(",")}"
            if (line != last) call.output.progress("$line elapsed_ms=$elapsed")
            last = line
            if (waiting.isEmpty()) return
            if (elapsed > ROLLOUT_TIMEOUT_MS) fail("accepted, but not yet applied by $waiting")
            delay(ROLLOUT_POLL_MS)
        }
    }

    private suspend fun show(call: Invocation) {
        val view = currentConfig(call)
        val deployment = Deployment(view.services.mapNotNull { it.config })
        call.output.show(ConfigView.serializer(), view) {
            val header =
                "# revision=${view.revision} instance=${view.instance} age_ms=${view.ageMs}"
            listOf(header) + deployment.toYaml().trimEnd().lines()
        }
    }

    private suspend fun history(call: Invocation) {
        val view = call.admin.get("/v1/config/history", HistoryView.serializer()).valueOrFail()
        call.output.show(HistoryView.serializer(), view) {
            Output.table(
                listOf("WHEN", "SERVICE", "REVISION", "DIGEST", "WHO"),
                view.changes.map {
                    val at = Instant.ofEpochMilli(it.changedAtEpochMs)
                    listOf(at, it.service, it.revision, it.digest.ifEmpty { "deleted" }, it.author)
                }
            )
        }
    }

    private suspend fun currentConfig(call: Invocation): ConfigView =
        call.admin.get("/v1/config", ConfigView.serializer()).valueOrFail()

    private suspend fun missing(call: Invocation, desired: Deployment) = DeploymentPlan.of(
        currentConfig(call).services.mapNotNull { it.config },
        desired,
        delete = false
    ).kept

    private fun read(path: String, output: Output): Deployment {
        val text = try {
            File(path).readText()
        } catch (e: IOException) {
            failUsage("$path: cannot be read: ${e.javaClass.simpleName}")
        }
        val deployment = Deployment.parse(text).fold(
            { errors ->
                val views = errors.map { ConfigIssueView(it.path, it.line, it.detail) }
                if (output.isJson) {
                    println(
                        ADMIN_JSON.encodeToString(
                            ListSerializer(ConfigIssueView.serializer()),
                            views
                        )
                    )
                }
                failUsage(errors.joinToString("\n") { "$path: $it" } + "\nfaults=${errors.size}")
            },
            { it }
        )
        deployment.warnings().forEach { output.progress("$path: warning: $it") }
        return deployment
    }

    private fun revision(text: String) =
        text.toLongOrNull() ?: failUsage("--revision: found '$text', expected a number")
}
