package org.yuccawind.cli

import kotlinx.serialization.builtins.ListSerializer
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.session.SessionToken
import org.yuccawind.core.wire.HandoverCall
import org.yuccawind.core.wire.HandoverView
import org.yuccawind.core.wire.InstancesView
import org.yuccawind.core.wire.ServiceStatusView

/** The commands for services, instances and sessions. */
internal object ServiceCommands {
    val ALL = listOf(
        Command(listOf("service", "list"), summary = "list the current services", run = ::list),
        Command(
            listOf("service", "status"),
            listOf("NAME"),
            summary = "show the primary, term, log positions and data ages of a service",
            run = ::status
        ),
        Command(listOf("instance", "list"), summary = "list entry instances", run = ::instances),
        Command(
            listOf("failover"),
            listOf("NAME"),
            setOf("to"),
            "hand a service over to another backend server",
            ::failover
        ),
        Command(
            listOf("session", "explain"),
            listOf("TOKEN"),
            summary = "show the contents of a session token; needs no instance",
            run = ::explain
        )
    )

    private suspend fun list(call: Invocation) {
        val serializer = ListSerializer(ServiceStatusView.serializer())
        val services = call.admin.get("/v1/services", serializer).valueOrFail()
        call.output.show(serializer, services) {
            Output.table(
                listOf("SERVICE", "REVISION", "PRIMARY", "TERM", "DATABASES"),
                services.map {
                    listOf(it.service, it.revision, it.primary, it.term, it.servers.size)
                }
            )
        }
    }

    private suspend fun status(call: Invocation) {
        val path = "/v1/services/${call.operands.single()}"
        val view = call.admin.get(path, ServiceStatusView.serializer()).valueOrFail()
        call.output.show(ServiceStatusView.serializer(), view) { lines(view) }
    }

    private fun lines(view: ServiceStatusView): List<String> {
        val head = "service=${view.service} revision=${view.revision} primary=${view.primary} " +
            "term=${view.term} proof_age_ms=${view.proofAgeMs} config_age_ms=${view.configAgeMs}"
        val servers = Output.table(
            listOf("DATABASE", "ZONE", "ADDRESS", "ROLE", "LOG END", "AGE MS"),
            view.servers.map { listOf(it.name, it.zone, it.address, it.role, it.end, it.ageMs) }
        )
        return listOf(head) + servers + "served_by=${view.servedBy.joinToString(",")}"
    }

    private suspend fun instances(call: Invocation) {
        val view = call.admin.get("/v1/instances", InstancesView.serializer()).valueOrFail()
        call.output.show(InstancesView.serializer(), view) {
            Output.table(
                listOf("INSTANCE", "ZONE", "PEERS", "LIVE", "LEAVING"),
                view.instances.map {
                    listOf(it.name, it.zone, it.peerAddress, it.live, it.leaving)
                }
            )
        }
    }

    private suspend fun failover(call: Invocation) {
        val to = call.arguments.option("to") ?: failUsage("--to DATABASE is missing")
        call.output.progress("handing over service=${call.operands.single()} to=$to")
        val view = call.admin.post(
            "/v1/services/${call.operands.single()}/handover",
            HandoverCall.serializer(),
            HandoverCall(BackendServerName(to)),
            HandoverView.serializer()
        ).valueOrFail()
        call.output.show(HandoverView.serializer(), view) {
            listOf("primary=${view.primary} term=${view.term}")
        }
    }

    private suspend fun explain(call: Invocation) {
        val token = SessionToken.decode(call.operands.single())
            .fold({ failUsage("${it.code.number} ${it.code}: ${it.detail}") }, { it })
        val points = token.points.entries.sortedBy { it.key.value }
            .map { SessionPointView(it.key, it.value.term, it.value.position) }
        val serializer = ListSerializer(SessionPointView.serializer())
        call.output.show(serializer, points) {
            val rows = points.map { listOf(it.service, it.term, it.position) }
            Output.table(listOf("SERVICE", "TERM", "POSITION"), rows) +
                "Later reads of this session include each of these writes, on any instance."
        }
    }
}
