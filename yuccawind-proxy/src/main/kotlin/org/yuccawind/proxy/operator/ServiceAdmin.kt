package org.yuccawind.proxy.operator

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import org.yuccawind.core.config.RecordAge
import org.yuccawind.core.membership.Membership
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.result.Refusal
import org.yuccawind.core.result.ResultCode
import org.yuccawind.core.service.NodeContext
import org.yuccawind.core.service.ServiceDirectory
import org.yuccawind.core.service.ServiceRuntime
import org.yuccawind.core.wire.HandoverView
import org.yuccawind.core.wire.InstanceView
import org.yuccawind.core.wire.InstancesView
import org.yuccawind.core.wire.ServerView
import org.yuccawind.core.wire.ServiceStatusView

/** Shows services and instances to operators and starts planned hand-overs. */
internal class ServiceAdmin(
    private val node: NodeContext,
    private val directory: ServiceDirectory,
    private val membership: Membership,
    private val recordAge: RecordAge
) {
    /** Returns the services in force on this instance, sorted by name. */
    fun list(): List<ServiceStatusView> =
        directory.records().keys.mapNotNull(directory::find).map(::view)
            .sortedBy { it.service.value }

    /** Returns the status of service [name]; fails with [ResultCode.NO_SUCH_SERVICE]. */
    fun status(name: ServiceName): Either<Refusal, ServiceStatusView> = find(name).map(::view)

    /** Returns the instances on the platform's list and those with a recent heartbeat. */
    fun instances(): InstancesView {
        val live = membership.live().map { it.value }.toSet()
        val listed = membership.entries.filter { it.peerAddress.isNotEmpty() }
        return InstancesView(
            listed.sortedBy { it.name }.map {
                InstanceView(
                    it.name,
                    it.zone,
                    it.peerAddress,
                    it.name in live,
                    membership.isLeaving(it.name)
                )
            }
        )
    }

    /** Makes the server [to] the primary of service [name] by a planned hand-over. */
    suspend fun handover(name: ServiceName, to: BackendServerName): Either<Refusal, HandoverView> =
        either {
            val runtime = find(name).bind()
            if (runtime.config.backendServers.none { it.name == to }) {
                raise(Refusal(ResultCode.HANDOVER_FAILED, "service $name has no database $to"))
            }
            val result = runtime.handover(to).bind()
            HandoverView(result.primary, result.term)
        }

    private fun find(name: ServiceName): Either<Refusal, ServiceRuntime> =
        directory.find(name)?.right()
            ?: Refusal(ResultCode.NO_SUCH_SERVICE, "service $name").left()

    private fun view(runtime: ServiceRuntime): ServiceStatusView {
        val certificate = runtime.context.evidence.newestCertificate()
        return ServiceStatusView(
            service = runtime.config.name,
            revision = runtime.revision,
            primary = certificate?.primary,
            term = certificate?.end?.term,
            proofAgeMs = certificate?.since?.elapsedNow()?.inWholeMilliseconds,
            configAgeMs = recordAge.now()?.inWholeMilliseconds,
            servers = servers(runtime),
            servedBy = node.liveInstances().sortedBy { it.value }
        )
    }

    private fun servers(runtime: ServiceRuntime) = runtime.config.backendServers.map { server ->
        val observation = runtime.context.evidence.observationOf(server.name)
        ServerView(
            server.name,
            server.zone,
            server.address,
            observation?.status?.role,
            observation?.status?.end?.toString(),
            observation?.receivedAt?.elapsedNow()?.inWholeMilliseconds
        )
    }
}
