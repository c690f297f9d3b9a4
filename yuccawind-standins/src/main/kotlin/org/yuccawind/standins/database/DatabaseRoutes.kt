package org.yuccawind.standins.database

import com.linecorp.armeria.server.ServerBuilder
import kotlinx.serialization.builtins.serializer
import org.yuccawind.core.wire.BackendCall
import org.yuccawind.core.wire.BackendReply
import org.yuccawind.core.wire.TermCall
import org.yuccawind.standins.http.Call
import org.yuccawind.standins.http.post

/** Adds the routes of a database stand-in. */
internal fun ServerBuilder.databaseRoutes(node: DatabaseNode) {
    reply("/status", node) { BackendReply.Status(node.status()) }
    reply("/open", node) { node.open() }
    reply("/fence", node) { BackendReply.Status(node.fence(it.body(TermCall.serializer()).term)) }
    reply("/promote", node) { node.promote(it.body(TermCall.serializer()).term) }
    reply("/connections/{id}/execute", node) {
        node.execute(it.connection(), it.body(BackendCall.serializer()))
    }
    post("/connections/{id}/close", Boolean.serializer()) {
        node.close(it.connection())
        true
    }
    post("/replicate", ReplicateReply.serializer()) {
        node.awaitDelivery(it.zone)
        node.replicate(it.body(ReplicateCall.serializer()))
    }
    post("/faults", DatabaseFaults.serializer()) { call ->
        call.body(DatabaseFaults.serializer()).also(node::inject)
    }
}

private fun Call.connection() = parameter("id").toLong()

private fun ServerBuilder.reply(
    path: String,
    node: DatabaseNode,
    handle: suspend (Call) -> BackendReply
) = post(path, BackendReply.serializer()) { call ->
    node.awaitDelivery(call.zone)
    handle(call).also { node.awaitDelivery(call.zone) }
}
