package org.yuccawind.standins.platform

import com.linecorp.armeria.server.ServerBuilder
import kotlin.time.TimeSource
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.nullable
import org.yuccawind.core.port.InstanceEntry
import org.yuccawind.core.port.KeySnapshot
import org.yuccawind.core.port.StoredValue
import org.yuccawind.core.wire.KeyQuery
import org.yuccawind.core.wire.PlatformReply
import org.yuccawind.core.wire.SwapCall
import org.yuccawind.core.wire.SwapReply
import org.yuccawind.standins.cli.CommandLine
import org.yuccawind.standins.http.Call
import org.yuccawind.standins.http.PORTS
import org.yuccawind.standins.http.post
import org.yuccawind.standins.http.startServer

/** Runs the platform stand-in until the process is terminated. */
fun main(args: Array<String>) {
    val parser = ArgParser("standin-platform")
    val port by parser.option(ArgType.Int, description = "loopback port").required()
    val commandLine = CommandLine("standin-platform")
    commandLine.parse(parser, args)
    if (port !in PORTS) commandLine.refuse("port", port, "${PORTS.first} to ${PORTS.last}")
    val model = PlatformModel(TimeSource.Monotonic)
    startServer(port) { platformRoutes(model) }
    println("event=standin_platform_started port=$port")
    Thread.currentThread().join()
}

/** Adds the routes of the platform stand-in. */
fun ServerBuilder.platformRoutes(model: PlatformModel) {
    val instances = ListSerializer(InstanceEntry.serializer())
    platformRoute("/get", model, StoredValue.serializer().nullable) {
        model.get(it.body(KeyQuery.serializer()).key)
    }
    platformRoute("/list", model, KeySnapshot.serializer()) {
        model.list(it.body(KeyQuery.serializer()).key)
    }
    platformRoute("/watch", model, KeySnapshot.serializer()) {
        val call = it.body(KeyQuery.serializer())
        model.watch(call.key, call.version)
    }
    platformRoute("/swap", model, SwapReply.serializer()) {
        model.swap(it.body(SwapCall.serializer()))
    }
    platformRoute("/instances", model, instances) { model.instances() }
    post("/control/instances", instances) { it.body(instances).also(model::setInstances) }
    post("/control/faults", PlatformFaults.serializer()) {
        it.body(PlatformFaults.serializer()).also(model::inject)
    }
    post("/control/counts", PlatformCountsView.serializer()) { PlatformCountsView.of(model.counts) }
}

/** Adds a route that is subject to the faults injected into [model]. */
private fun <T> ServerBuilder.platformRoute(
    path: String,
    model: PlatformModel,
    serializer: KSerializer<T>,
    handle: suspend (Call) -> T
) = post(path, PlatformReply.serializer(serializer)) { call ->
    if (model.applyFaults(call.zone)) PlatformReply(handle(call)) else null
}
