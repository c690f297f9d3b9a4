package org.yuccawind.standins.database

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import java.io.File
import java.time.Duration
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.multiple
import kotlinx.cli.required
import kotlinx.coroutines.future.await
import kotlinx.coroutines.runBlocking
import org.yuccawind.core.wire.ZONE_HEADER
import org.yuccawind.standins.cli.CommandLine
import org.yuccawind.standins.http.PORTS
import org.yuccawind.standins.http.STANDIN_JSON
import org.yuccawind.standins.http.startServer
import org.yuccawind.standins.network.LinkModel
import org.yuccawind.standins.network.LinkSettings

private const val REPLICATION_TIMEOUT_MS = 500L
private const val CONNECTIONS_PER_MS = 1_000L

/** Runs one database stand-in until the process is terminated. */
fun main(args: Array<String>) {
    val options = DatabaseOptions(args)
    // Connection ids must stay unique across restarts.
    val firstConnection = System.currentTimeMillis() * CONNECTIONS_PER_MS
    val node = DatabaseNode(
        options.settings(),
        TimeSource.Monotonic,
        options.link(),
        options.journal(),
        firstConnection
    )
    startServer(options.port) { databaseRoutes(node) }
    println("event=standin_database_started name=${options.name} port=${options.port}")
    val links = options.peers.map { HttpReplicaLink(it, options.zone) }
    runBlocking { node.replicateTo(links) }
    Thread.currentThread().join()
}

private class DatabaseOptions(args: Array<String>) {
    private val parser = ArgParser("standin-database")
    val name by parser.option(ArgType.String, description = "name of the server").required()
    val zone by parser.option(ArgType.String, description = "availability zone").required()
    val port by parser.option(ArgType.Int, description = "loopback port").required()
    val slots by parser.option(ArgType.Int, description = "maximum concurrent statements")
        .default(2)
    val connections by parser.option(ArgType.Int, description = "maximum open connections")
        .default(16)
    val connectionMs by parser
        .option(ArgType.Int, "connection-ms", description = "time to open a connection in ms")
        .default(10)
    val statementMs by parser
        .option(ArgType.Int, "statement-ms", description = "execution time of a statement in ms")
        .default(0)
    val lagMs by parser.option(ArgType.Int, "lag-ms", description = "replication lag in ms")
        .default(20)
    val peers by parser.option(ArgType.String, "peer", description = "address of another server")
        .multiple()

    private val linkMs by parser
        .option(ArgType.Double, "link-ms", description = "minimum delay to other zones in ms")
        .default(0.0)
    private val linkVariation by parser
        .option(ArgType.Double, "link-variation", description = "maximum delay / minimum delay")
        .default(1.0)
    private val linkLoss by parser
        .option(ArgType.Double, "link-loss", description = "fraction of retransmitted messages")
        .default(0.0)
    private val seed by parser.option(ArgType.Int, description = "seed of the link delays")
        .default(1)

    private val data by parser
        .option(ArgType.String, description = "directory in which the log is persisted")

    init {
        val commandLine = CommandLine("standin-database")
        commandLine.parse(parser, args)
        if (port !in PORTS) commandLine.refuse("port", port, "${PORTS.first} to ${PORTS.last}")
        if (slots < 1) commandLine.refuse("slots", slots, "1 or more")
        if (connections < 1) commandLine.refuse("connections", connections, "1 or more")
    }

    fun link() = LinkModel(
        zone,
        LinkSettings(linkMs.milliseconds, linkVariation, linkLoss),
        Random(seed)
    )

    fun journal() = data?.let { FileJournal(File(it)) } ?: DatabaseJournal.NONE

    fun settings() = DatabaseSettings(
        slots,
        connections,
        connectionMs.milliseconds,
        statementMs.milliseconds,
        lagMs.milliseconds
    )
}

private class HttpReplicaLink(address: String, private val zone: String) : ReplicaLink {
    private val client = WebClient.builder("http://$address")
        .responseTimeout(Duration.ofMillis(REPLICATION_TIMEOUT_MS))
        .build()

    override suspend fun replicate(call: ReplicateCall): ReplicateReply? = runCatching {
        val headers = RequestHeaders.builder(HttpMethod.POST, "/replicate")
            .contentType(MediaType.JSON_UTF_8)
            .add(ZONE_HEADER, zone)
            .build()
        val text = STANDIN_JSON.encodeToString(ReplicateCall.serializer(), call)
        val response = client.execute(headers, HttpData.ofUtf8(text)).aggregate().await()
        STANDIN_JSON.decodeFromString(ReplicateReply.serializer(), response.contentUtf8())
    }.getOrNull()
}
