package org.yuccawind.standins.wire

import java.io.File
import java.io.IOException
import java.net.ServerSocket
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.yuccawind.standins.database.DatabaseSettings
import org.yuccawind.standins.http.startServer
import org.yuccawind.standins.platform.PlatformModel

private const val EXIT_OK = 0
private const val EXIT_USAGE = 2
private const val SERVICE = "pairing"

/** Listed instances: so many that the rehearsed one is not a home and has to query its peers. */
private const val LISTED_INSTANCES = 60

/** Time after which the process exits; far longer than a rehearsal. */
private val LIFETIME = 2.minutes

/** Pause between rounds of client sessions, also before retrying an unreachable instance. */
private val SESSION_PAUSE = 50.milliseconds

/**
 * Runs the stand-ins against which the build rehearses an instance: a store, a failover endpoint
 * and a group of databases that serve the line protocol. Writes the settings of the instance to
 * the given file, then runs client sessions against it for at most two minutes.
 */
fun main(args: Array<String>) {
    val file = args.singleOrNull() ?: run {
        System.err.println("usage: WireMain FILE (the instance's settings are written to FILE)")
        exitProcess(EXIT_USAGE)
    }
    val scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
    val store = WireStore(PlatformModel(TimeSource.Monotonic), scope)
    val group =
        WireGroup(SERVICE, listOf("a", "b", "c"), DatabaseSettings(), TimeSource.Monotonic)
    val server = startServer(0) {
        store.addTo(this)
        WireFailoverEndpoint { _, name -> group.promote(name) }.addTo(this)
    }
    scope.launch { group.run() }
    runBlocking {
        group.databases.forEach { (name, database) ->
            store.write("servers/$name", registrationOf(WireDatabaseServer(database)))
        }
        store.write("op/config", configuration())
        val frontPort = freePort()
        val peerPort = freePort()
        repeat(LISTED_INSTANCES) {
            store.write("yuccawind/instances/listed-$it", listEntry(peerPort))
        }
        File(file).writeText(instanceSettings(frontPort, server.activeLocalPort(), peerPort))
        val end = TimeSource.Monotonic.markNow() + LIFETIME
        while (end.hasNotPassedNow()) {
            withContext(Dispatchers.IO) { runSessions(frontPort) }
            delay(SESSION_PAUSE)
        }
    }
    exitProcess(EXIT_OK)
}

private fun freePort() = ServerSocket(0).use { it.localPort }

private fun registrationOf(server: WireDatabaseServer) =
    """{"service":"$SERVICE","address":"${server.address}","zone":"z","version":"v1",
       "slots":2,"state":"ready","warmupLeftMs":0,"dbRole":"replica","seq":1,"born":1}"""

private fun configuration(): String {
    val routes = listOf("primary", "bounded_staleness", "read_your_writes").joinToString(",") {
        """{"name":"r-$it","database":"$it","type":"$it","timeoutMs":2000,"priority":1,
           "targetLatencyMs":150,"maxStalenessMs":1500,"service":"$SERVICE"}"""
    }
    return """{"version":1,"routes":[$routes],
       "services":[{"name":"$SERVICE","maxConnections":16,"syncReplicas":0}],
       "limits":{"headerTimeoutMs":3000,"txIdleMs":3000}}"""
}

/** List entry with the peer address of the rehearsed instance, which therefore polls itself. */
private fun listEntry(peerPort: Int) = """{"zone":"z","peer":"127.0.0.1:$peerPort"}"""

private fun instanceSettings(frontPort: Int, storePort: Int, peerPort: Int) = """
    instance: rehearsal
    availability_zone: z
    front_address: 127.0.0.1:$frontPort
    ready_address: 127.0.0.1:${freePort()}
    store_address: 127.0.0.1:$storePort
    order_address: 127.0.0.1:$storePort
    peer_address: 127.0.0.1:$peerPort
    config_apply_ms: 6000
    grace_seconds: 1
""".trimIndent()

/** Runs one session per route type; returns early if the instance is unreachable. */
private fun runSessions(port: Int) {
    for (database in listOf("primary", "bounded_staleness", "read_your_writes", "unknown")) {
        try {
            WireClient(port, database).use(::runSession)
        } catch (e: IOException) {
            System.err.println("cannot open a session on port $port: ${e.message}")
            return
        }
    }
}

private fun runSession(client: WireClient) {
    if (!client.greeting.startsWith("READY")) return
    val statements = listOf(
        "SET mode strict", "WRITE k v", "READ k", "PREPARE s READ q", "EXECUTE s k", "DEALLOC s",
        "BEGIN", "WRITE k w", "READ k", "COMMIT", "BEGIN READ", "READ k", "COMMIT", "BEGIN",
        "READ k", "ROLLBACK", "UNKNOWN"
    )
    statements.forEachIndexed { number, text -> client.query("$number", text) }
    client.send("TERMINATE")
}
