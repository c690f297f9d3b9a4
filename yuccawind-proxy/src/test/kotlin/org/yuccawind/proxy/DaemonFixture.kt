package org.yuccawind.proxy

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.server.Server
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.time.TimeSource
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.Json
import org.yuccawind.core.config.BackendServerConfig
import org.yuccawind.core.config.ServiceConfig
import org.yuccawind.core.config.ServiceRecord
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.wire.SwapCall
import org.yuccawind.proxy.settings.DaemonSettings
import org.yuccawind.proxy.settings.Endpoint
import org.yuccawind.standins.http.startServer
import org.yuccawind.standins.platform.PlatformModel
import org.yuccawind.standins.platform.platformRoutes

/** A daemon on free ports. Its platform runs on request; its only database is never reachable. */
internal class DaemonFixture(operatorKey: String = "0123456789abcdef") {
    private val ports = List(5) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
        .let { sockets ->
            sockets.map { it.localPort }.also { sockets.forEach(ServerSocket::close) }
        }
    private var platformServer: Server? = null

    val callersPort get() = ports[0]

    val daemon = Daemon(
        DaemonSettings(
            instance = "proxy-1",
            zone = "a",
            callers = Endpoint(port = ports[0]),
            operators = Endpoint(port = ports[1]),
            peers = Endpoint(port = ports[2]),
            platform = "127.0.0.1:${ports[3]}",
            operatorKey = operatorKey
        )
    )
    val callers: WebClient = WebClient.of("http://127.0.0.1:${ports[0]}")
    val operators: WebClient = WebClient.of("http://127.0.0.1:${ports[1]}")

    /** Starts a platform with the service `orders` and the daemon; returns once it is ready. */
    suspend fun startWithOrders() {
        val platform = PlatformModel(TimeSource.Monotonic)
        platformServer = startServer(ports[3]) { platformRoutes(platform) }
        platform.swap(SwapCall("services/orders", 0, ordersRecord()))
        daemon.start()
        withTimeout(10_000) { while (readiness() != 200) delay(10) }
    }

    /** HTTP status of the readiness check. */
    suspend fun readiness(): Int =
        operators.get("/health/ready").aggregate().await().status().code()

    suspend fun stop() {
        daemon.stop()
        platformServer?.stop()?.await()
    }

    private fun ordersRecord(): String {
        val server = BackendServerConfig(
            BackendServerName("orders-1"),
            AvailabilityZone("a"),
            "127.0.0.1:${ports[4]}"
        )
        val config = ServiceConfig(ServiceName("orders"), listOf(server))
        val record = ServiceRecord(1, config, "test", "nonce")
        return Json.encodeToString(ServiceRecord.serializer(), record)
    }
}
