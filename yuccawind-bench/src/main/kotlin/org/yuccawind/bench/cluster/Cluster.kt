package org.yuccawind.bench.cluster

import com.linecorp.armeria.client.WebClient
import java.io.Closeable
import java.io.File
import java.nio.file.Files
import java.util.UUID
import kotlin.time.DurationUnit
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.nullable
import org.yuccawind.core.config.BackendServerConfig
import org.yuccawind.core.config.SERVICE_PREFIX
import org.yuccawind.core.config.ServiceConfig
import org.yuccawind.core.config.ServiceRecord
import org.yuccawind.core.failover.TermRecord
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.port.InstanceEntry
import org.yuccawind.core.port.StoredValue
import org.yuccawind.core.wire.KeyQuery
import org.yuccawind.core.wire.PlatformReply
import org.yuccawind.core.wire.SwapCall
import org.yuccawind.standins.database.DatabaseFaults
import org.yuccawind.standins.http.STANDIN_JSON
import org.yuccawind.standins.platform.PlatformCountsView
import org.yuccawind.standins.platform.PlatformFaults

private const val READY_TIMEOUT_MS = 30_000L
private const val READY_POLL_INTERVAL_MS = 50L
private const val OPERATOR_KEY = "bench-operator-key"
private const val HTTP_OK = 200
private const val JAVA_OPTIONS_VARIABLE = "YUCCAWIND_JAVA_OPTIONS"
private const val CORES_JVM_OPTION = "-XX:ActiveProcessorCount"

/** Platform, database groups and entry instances, each running as a separate process. */
class Cluster(val spec: ClusterSpec) : Closeable {
    private val supervisor = Supervisor.connect()
    private val directory: File = Files.createTempDirectory("yuccawind").toFile()
    private val bin = File(System.getenv("YUCCAWIND_HOME"), "bin")
    private val processIds = HashMap<String, Int>()
    private val platformPort = FreePorts.find(1).single()

    /** Database processes by service name. */
    val databases: Map<String, List<DatabaseProcess>> = spec.services.associate { service ->
        service.name to FreePorts.find(service.servers).mapIndexed { index, port ->
            DatabaseProcess("${service.name}-${index + 1}", zone(index), port)
        }
    }

    /** Entry instances. */
    val instances: List<InstanceProcess> = List(spec.instances) { index ->
        val (callers, operators, peers) = FreePorts.find(3)
        InstanceProcess("proxy-${index + 1}", zone(index), callers, operators, peers)
    }

    /** Address of the platform. */
    val platformAddress = "127.0.0.1:$platformPort"

    /** Directory for process output; [close] deletes it unless [keepLogs] is set. */
    val logDirectory: File get() = directory

    /** True keeps the output of the processes after [close]. */
    var keepLogs = false

    /** API key for the operator interface of every instance. */
    val operatorKey = OPERATOR_KEY

    /** Number of processes in the cluster. */
    val processCount get() = 1 + databases.values.sumOf { it.size } + instances.size

    /** Starts all processes, stores the service configurations and waits for readiness. */
    suspend fun start() {
        launch("platform", "standin-platform", "--port", "$platformPort")
        spec.services.forEach(::startDatabases)
        awaitResponse(platformAddress, "/control/counts")
        setInstances(instanceEntries())
        spec.services.forEach { putConfig(configOf(it), 1, 0) }
        instances.forEach(::startInstance)
        instances.forEach { awaitReady(it) }
    }

    /** Starts (or restarts) one entry instance. */
    fun startInstance(instance: InstanceProcess) {
        val settings = File(directory, "${instance.name}.yaml")
        val index = instances.indexOf(instance)
        val decisionLog = spec.decisionLog && index < spec.instances - spec.unloggedInstances
        settings.writeText(
            instance.settings(platformAddress, OPERATOR_KEY, decisionLog, spec.readPolicy)
        )
        val environment = spec.instanceCores?.let {
            listOf("env", "$JAVA_OPTIONS_VARIABLE=$CORES_JVM_OPTION=$it")
        }
        val command = environment.orEmpty() + listOf("$bin/yuccawindd", "--settings", "$settings")
        launch(instance.name, command)
    }

    /** Starts (or restarts) one database. */
    fun startDatabase(database: DatabaseProcess) {
        val service = spec.services.first { database in databases.getValue(it.name) }
        val group = databases.getValue(service.name)
        val peers = (group - database).flatMap { listOf("--peer", it.address) }
        val options = (serviceOptions(service) + linkOptions(database))
            .flatMap { listOf(it.first, it.second.toString()) }
        val identity =
            listOf("--name", database.name, "--zone", database.zone.value) +
                listOf("--port", "${database.port}")
        val arguments = identity + options + peers + dataOptions(database)
        launch(database.name, "standin-database", *arguments.toTypedArray())
    }

    /** Waits until [instance] reports ready. */
    suspend fun awaitReady(instance: InstanceProcess) {
        val client = WebClient.of("http://${instance.operatorAddress}")
        awaitCondition("waiting for ${instance.name} to become ready") {
            client.get("/health/ready").aggregate().await().status().code() == HTTP_OK
        }
    }

    /** Process id of [name]; throws [NoSuchElementException] if it was never started. */
    fun processId(name: String): Int = processIds.getValue(name)

    /** Sends [signal] to the process [name]. */
    fun signal(name: String, signal: Signal) = supervisor.signal(name, signal)

    /** Exit code of the process [name]; null while it runs. */
    fun exitCode(name: String) = supervisor.exitCode(name)

    /** Entry instances in the form of the platform's instance list. */
    fun instanceEntries() = instances.map { InstanceEntry(it.name, it.zone, it.peerAddress) }

    /** Replaces the instance list of the platform. */
    suspend fun setInstances(entries: List<InstanceEntry>) {
        val serializer = ListSerializer(InstanceEntry.serializer())
        post(platformAddress, "/control/instances", serializer, entries)
    }

    /** Replaces the injected faults of the platform. */
    suspend fun inject(faults: PlatformFaults) {
        post(platformAddress, "/control/faults", PlatformFaults.serializer(), faults)
    }

    /** Replaces the injected faults of [database]. */
    suspend fun inject(database: DatabaseProcess, faults: DatabaseFaults) {
        post(database.address, "/faults", DatabaseFaults.serializer(), faults)
    }

    /** Sets the replication lag of every database of [service]. */
    suspend fun setLag(service: String, lagMs: Int) {
        databases.getValue(service).forEach { inject(it, DatabaseFaults(lagMs = lagMs.toLong())) }
    }

    /** Revisions in the stored record of [service], including past ones. */
    suspend fun revisions(service: String): Set<Long> {
        val client = WebClient.of("http://$platformAddress")
        val call = KeyQuery("$SERVICE_PREFIX$service")
        val body = STANDIN_JSON.encodeToString(KeyQuery.serializer(), call)
        val response = client.post("/get", body).aggregate().await()
        val stored = STANDIN_JSON.decodeFromString(
            PlatformReply.serializer(StoredValue.serializer().nullable),
            response.contentUtf8()
        )
        val text = checkNotNull(stored.value) { "platform has no record of $service" }.value
        val record = STANDIN_JSON.decodeFromString(ServiceRecord.serializer(), text)
        return (record.history.map { it.revision } + record.revision).toSet()
    }

    /** Current term of [service] in the platform store; 0 if no term has been taken. */
    suspend fun term(service: String): Long {
        val client = WebClient.of("http://$platformAddress")
        val body = STANDIN_JSON.encodeToString(KeyQuery.serializer(), KeyQuery("terms/$service"))
        val response = client.post("/get", body).aggregate().await()
        val stored = STANDIN_JSON.decodeFromString(
            PlatformReply.serializer(StoredValue.serializer().nullable),
            response.contentUtf8()
        )
        val record = stored.value?.let {
            STANDIN_JSON.decodeFromString(TermRecord.serializer(), it.value)
        }
        return record?.term ?: 0
    }

    /** Numbers of calls that the platform has received so far. */
    suspend fun platformCounts(): PlatformCountsView {
        val client = WebClient.of("http://$platformAddress")
        val response = client.post("/control/counts", "").aggregate().await()
        return STANDIN_JSON.decodeFromString(
            PlatformCountsView.serializer(),
            response.contentUtf8()
        )
    }

    /** Service configuration that matches the database processes of [service]. */
    fun configOf(service: ServiceSpec) = ServiceConfig(
        name = ServiceName(service.name),
        backendServers = databases.getValue(service.name).map {
            BackendServerConfig(
                BackendServerName(it.name),
                it.zone,
                it.address,
                service.slots,
                service.connections
            )
        },
        readKinds = service.readKinds,
        acknowledge = service.acknowledge
    )

    override fun close() {
        val names = instances.map { it.name } + databases.values.flatten().map { it.name }
        for (name in names + "platform") runCatching { signal(name, Signal.KILL) }
        supervisor.close()
        if (!keepLogs) directory.deleteRecursively()
    }

    private fun startDatabases(service: ServiceSpec) =
        databases.getValue(service.name).forEach(::startDatabase)

    private fun serviceOptions(service: ServiceSpec) = listOf(
        "--slots" to service.slots,
        "--connections" to service.connections,
        "--connection-ms" to service.connectionMs,
        "--lag-ms" to service.lagMs,
        "--statement-ms" to service.statementMs
    )

    private fun linkOptions(database: DatabaseProcess) = listOf(
        "--link-ms" to spec.link.oneWay.toDouble(DurationUnit.MILLISECONDS),
        "--link-variation" to spec.link.variation,
        "--link-loss" to spec.link.loss,
        "--seed" to spec.seed + database.port
    )

    private fun dataOptions(database: DatabaseProcess) =
        if (spec.isDurable) listOf("--data", "${File(directory, database.name)}") else emptyList()

    private suspend fun putConfig(config: ServiceConfig, revision: Long, expected: Long) {
        val nonce = UUID.randomUUID().toString()
        val record = ServiceRecord(revision, config, "bench", nonce)
        val value = STANDIN_JSON.encodeToString(ServiceRecord.serializer(), record)
        val swap = SwapCall("services/${config.name}", expected, value)
        post(platformAddress, "/swap", SwapCall.serializer(), swap)
    }

    private suspend fun <B> post(
        address: String,
        path: String,
        serializer: KSerializer<B>,
        body: B
    ) {
        val text = STANDIN_JSON.encodeToString(serializer, body)
        val response = WebClient.of("http://$address").post(path, text).aggregate().await()
        check(response.status().code() == HTTP_OK) { "$address$path: ${response.status()}" }
    }

    private suspend fun awaitResponse(address: String, path: String) {
        val client = WebClient.of("http://$address")
        awaitCondition("waiting for a response from $address") {
            client.post(path, "").aggregate().await().status().code() == HTTP_OK
        }
    }

    private suspend fun awaitCondition(condition: String, check: suspend () -> Boolean) {
        val result = withTimeoutOrNull(READY_TIMEOUT_MS) {
            while (!runCatching { check() }.getOrDefault(false)) delay(READY_POLL_INTERVAL_MS)
        }
        checkNotNull(result) {
            "timed out after $READY_TIMEOUT_MS ms: $condition; logs in $directory"
        }
    }

    private fun launch(id: String, program: String, vararg arguments: String) =
        launch(id, listOf("$bin/$program") + arguments)

    private fun launch(id: String, command: List<String>) {
        processIds[id] = supervisor.start(id, File(directory, "$id.log"), command)
    }

    private fun zone(index: Int) = AvailabilityZone(spec.zones[index % spec.zones.size])
}
