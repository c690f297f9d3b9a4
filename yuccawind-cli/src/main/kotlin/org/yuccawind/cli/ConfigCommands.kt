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

private const val WAIT_PERIOD_MS = 200L
private const val WAIT_LIMIT_MS = 60_000L

/** The commands about configuration. */
internal object ConfigCommands {
    val ALL = listOf(
        Command(
            listOf("config", "check"),
            listOf("FILE"),
            summary = "list every fault of a file; needs no instance",
            run = ::check
        ),
        Command(
            listOf("config", "plan"),
            listOf("FILE"),
            setOf("delete"),
            "show what the file would change, and the revision in force",
            ::plan
        ),
        Command(
            listOf("config", "apply"),
            listOf("FILE"),
            setOf("revision", "wait", "delete", "author"),
            "put the file in force; --wait until every instance has it",
            ::apply
        ),
        Command(
            listOf("config", "show"),
            summary = "print the services in force as YAML",
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
        val wanted = read(call.operands.single(), call.output)
        val view = inForce(call)
        val plan = PlanView.of(view, wanted, call.arguments.flag("delete"))
        call.output.show(PlanView.serializer(), plan, plan::lines)
    }

    private suspend fun apply(call: Invocation) {
        val wanted = read(call.operands.single(), call.output)
        val body = ApplyCall(
            services = wanted.services,
            deleted = if (call.arguments.flag("delete")) gone(call, wanted) else emptyList(),
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
        if (reply.code == ResultCode.CONFIG_CONFLICT.number) conflict(call, wanted, reply)
        val view = reply.valueOrFail()
        if (call.arguments.flag("wait")) awaitSpread(call, view)
        call.output.show(ApplyView.serializer(), view) {
            view.accepted.map { "accepted service=${it.service} revision=${it.revision}" } +
                "accepted=${view.accepted.size} revision=${view.revision}"
        }
    }

    private suspend fun conflict(
        call: Invocation,
        wanted: Deployment,
        reply: AdminReply<ApplyView>
    ): Nothing {
        val plan = PlanView.of(inForce(call), wanted, call.arguments.flag("delete"))
        call.output.show(PlanView.serializer(), plan, plan::lines)
        reply.valueOrFail()
        error("a conflict has no value")
    }

    private suspend fun awaitSpread(call: Invocation, view: ApplyView) {
        val startedAt = TimeSource.Monotonic.markNow()
        var last = ""
        while (true) {
            val spread = call.admin.post(
                "/v1/config/spread",
                RolloutCall.serializer(),
                RolloutCall(view.accepted),
                RolloutView.serializer()
            ).valueOrFail()
            val waiting = spread.behind + spread.silent
            val elapsed = startedAt.elapsedNow().inWholeMilliseconds
            val line = "in_force=${spread.instances - waiting.size} of=${spread.instances}" +
                if (waiting.isEmpty()) "" else " waiting_for=${waiting.joinToString(",")}"
            if (line != last) call.output.progress("$line elapsed_ms=$elapsed")
            last = line
            if (waiting.isEmpty()) return
            if (elapsed > WAIT_LIMIT_MS) fail("accepted, and not in force on $waiting yet")
            delay(WAIT_PERIOD_MS)
        }
    }

    private suspend fun show(call: Invocation) {
        val view = inForce(call)
        val deployment = Deployment(view.services.mapNotNull { it.config })
        call.output.show(ConfigView.serializer(), view) {
            val age = "# revision=${view.revision} instance=${view.instance} age_ms=${view.ageMs}"
            listOf(age) + deployment.toYaml().trimEnd().lines()
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

    private suspend fun inForce(call: Invocation): ConfigView =
        call.admin.get("/v1/config", ConfigView.serializer()).valueOrFail()

    private suspend fun gone(call: Invocation, wanted: Deployment) = DeploymentPlan.of(
        inForce(call).services.mapNotNull { it.config },
        wanted,
        delete = false
    ).kept

    private fun read(path: String, output: Output): Deployment {
        val text = try {
            File(path).readText()
        } catch (e: IOException) {
            failUsage("$path: can't be read: ${e.javaClass.simpleName}")
        }
        val deployment = Deployment.parse(text).fold(
            { faults ->
                val views = faults.map { FaultView(it.path, it.line, it.detail) }
                if (output.isJson) {
                    println(
                        ADMIN_JSON.encodeToString(ListSerializer(FaultView.serializer()), views)
                    )
                }
                failUsage(faults.joinToString("\n") { "$path: $it" } + "\nfaults=${faults.size}")
            },
            { it }
        )
        deployment.warnings().forEach { output.progress("$path: warning: $it") }
        return deployment
    }

    private fun revision(text: String) =
        text.toLongOrNull() ?: failUsage("--revision: found '$text', expected a number")
}
