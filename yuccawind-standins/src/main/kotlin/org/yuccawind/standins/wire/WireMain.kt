package org.yuccawind.standins.wire

import java.io.File
import java.io.IOException
import java.net.ServerSocket
import java.net.Socket
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

/** Other instances on the list: so many that the rehearsed one is no home and asks them. */
private const val LISTED = 60

/** Time after which the stand-ins end by themselves: far longer than a rehearsal. */
private val LIFETIME = 2.minutes

/** Pause between two sessions of the client, and before an instance is looked for again. */
private val SESSION_PAUSE = 50.milliseconds

/**
 * Runs a store, its orders and a group of databases that speak the wire, writes the settings of an
 * instance before them to the file that is named, and sends that instance sessions for two minutes
 * at most. The build rehearses an instance against it.
 */
fun main(args: Array<String>) {
    val file = args.singleOrNull() ?: run {
        System.err.println("usage: WireMain FILE, where the instance's settings are written")
        exitProcess(EXIT_USAGE)
    }
    val scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
    val store = WireStore(PlatformModel(TimeSource.Monotonic), scope)
    val group =
        WireGroup(SERVICE, listOf("a", "b", "c"), DatabaseSettings(), TimeSource.Monotonic)
    val server = startServer(0) {
        store.addTo(this)
        WireOrders { _, name -> group.promote(name) }.addTo(this)
    }
    scope.launch { group.run() }
    runBlocking {
        group.databases.forEach { (name, database) ->
            store.write("servers/$name", registrationOf(WireDatabaseServer(database)))
        }
        store.write("op/config", configuration())
        val frontPort = freePort()
        val peerPort = freePort()
        repeat(LISTED) { store.write("yuccawind/instances/listed-$it", listing(peerPort)) }
        File(file).writeText(settings(frontPort, server.activeLocalPort(), peerPort))
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

/** An instance at the address of the one that is rehearsed, which so asks itself. */
private fun listing(peerPort: Int) = """{"zone":"z","peer":"127.0.0.1:$peerPort"}"""

private fun settings(frontPort: Int, storePort: Int, peerPort: Int) = """
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

/** A session for each kind of route; ends early without an instance. */
private fun runSessions(port: Int) {
    for (database in listOf("primary", "bounded_staleness", "read_your_writes", "unknown")) {
        try {
            Socket("127.0.0.1", port).use { runSession(it, database) }
        } catch (e: IOException) {
            System.err.println("no session with port $port: ${e.message}")
            return
        }
    }
}

private fun runSession(socket: Socket, database: String) {
    val reader = socket.getInputStream().bufferedReader()
    fun send(line: String) = socket.getOutputStream().write("$line\r\n".toByteArray())
    send("START $database rehearsal")
    if (reader.readLine()?.startsWith("READY") != true) return
    val statements = listOf(
        "SET mode strict", "WRITE k v", "READ k", "PREPARE s READ q", "EXECUTE s k", "DEALLOC s",
        "BEGIN", "WRITE k w", "READ k", "COMMIT", "BEGIN READ", "READ k", "COMMIT", "BEGIN",
        "READ k", "ROLLBACK", "UNKNOWN"
    )
    statements.forEachIndexed { number, text ->
        send("QUERY $number $text")
        do {
            val line = reader.readLine() ?: return
        } while (!line.startsWith("READY"))
    }
    send("TERMINATE")
}
