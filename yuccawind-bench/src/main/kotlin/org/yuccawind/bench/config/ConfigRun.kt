package org.yuccawind.bench.config

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.yuccawind.bench.client.OperatorClient
import org.yuccawind.bench.cluster.Cluster
import org.yuccawind.bench.cluster.InstanceProcess
import org.yuccawind.bench.cluster.Signal
import org.yuccawind.core.result.ResultCode
import org.yuccawind.core.wire.ApplyCall
import org.yuccawind.standins.platform.PlatformFaults

private const val FAULT_FREE_CHANGES = 10
private const val FAULT_ROUNDS = 2
private const val POLL_INTERVAL_MS = 10L
private const val IN_FORCE_TIMEOUT_MS = 30_000L
private const val MAX_PAUSE_MS = 300
private const val FAULT_DURATION_MS = 2_000L

/** Changes the configuration of one service repeatedly and polls its revision on each instance. */
internal class ConfigRun(
    private val cluster: Cluster,
    private val service: String,
    private val random: Random
) {
    private val clients = cluster.instances.associateWith {
        OperatorClient(it.operatorAddress, cluster.operatorKey)
    }
    private val observedRevisions = ConcurrentHashMap<String, Long>()
    private val reverts = AtomicInteger()
    private val baseConfig = cluster.configOf(cluster.spec.services.single())
    private val acceptedRevisions = ArrayList<Long>()
    private var changes = 0

    /** Applies changes without faults, then rounds of faults. */
    suspend fun run(): ConfigResult = coroutineScope {
        cluster.start()
        val pollers = launch { clients.keys.forEach { launch { pollRevision(it) } } }
        val faultFree = List(FAULT_FREE_CHANGES) { measureChange() }
        println("step=quiet changes=$FAULT_FREE_CHANGES max_ms=${faultFree.max()}")
        val withFaults = List(FAULT_ROUNDS) {
            listOf(platformOutage(), zonePartition(), instanceRestart())
        }.flatten()
        pollers.cancel()
        ConfigResult(faultFree, withFaults, reverts.get(), countLost())
    }

    private suspend fun platformOutage(): Long = measureFault("outage") {
        cluster.inject(PlatformFaults(isOut = true))
        delay(FAULT_DURATION_MS)
        val refused = apply()
        check(refused != ResultCode.OK.number) { "a change was accepted during a platform outage" }
        cluster.inject(PlatformFaults())
    }

    private suspend fun zonePartition(): Long = measureFault("cut") {
        val zone = cluster.spec.zones.random(random)
        cluster.inject(PlatformFaults(cutZones = setOf(zone), loseReplies = 1))
        apply(clients.keys.filter { it.zone.value != zone }.random(random))
        delay(FAULT_DURATION_MS)
        cluster.inject(PlatformFaults())
    }

    private suspend fun instanceRestart(): Long = measureFault("restart") {
        val instance = cluster.instances.random(random)
        cluster.signal(instance.name, Signal.KILL)
        observedRevisions.remove(instance.name)
        val other = (cluster.instances - instance).random(random)
        apply(other)
        cluster.startInstance(instance)
        cluster.awaitReady(instance)
    }

    /** Time in ms from the end of the fault [block] until a later change is in force everywhere. */
    private suspend fun measureFault(name: String, block: suspend () -> Unit): Long {
        block()
        val endedAt = TimeSource.Monotonic.markNow()
        while (apply() != ResultCode.OK.number) delay(POLL_INTERVAL_MS)
        val elapsed = awaitInForce(endedAt)
        println("step=$name in_force_ms=$elapsed")
        return elapsed
    }

    private suspend fun measureChange(): Long {
        delay(random.nextInt(MAX_PAUSE_MS).toLong())
        val startedAt = TimeSource.Monotonic.markNow()
        val code = apply()
        check(code == ResultCode.OK.number) { "a change without faults failed with code $code" }
        return awaitInForce(startedAt)
    }

    private suspend fun apply(at: InstanceProcess = clients.keys.random(random)): Int? {
        val number = ++changes
        val config = baseConfig.copy(queueLimit = baseConfig.queueLimit + number)
        val call = ApplyCall(listOf(config), emptyList(), null, "bench", "bench-$number")
        val reply = clients.getValue(at).apply(call)
        reply?.value?.accepted?.forEach { acceptedRevisions += it.revision }
        return reply?.code
    }

    private suspend fun awaitInForce(from: ComparableTimeMark): Long {
        val target = acceptedRevisions.last()
        while (cluster.instances.any { (observedRevisions[it.name] ?: 0) < target }) {
            val elapsed = from.elapsedNow().inWholeMilliseconds
            check(elapsed < IN_FORCE_TIMEOUT_MS) {
                "revision $target not in force on all instances: $observedRevisions"
            }
            delay(POLL_INTERVAL_MS)
        }
        return from.elapsedNow().inWholeMilliseconds
    }

    private suspend fun CoroutineScope.pollRevision(instance: InstanceProcess) {
        val client = clients.getValue(instance)
        while (isActive) {
            val revision = client.services()?.find { it.service.value == service }?.revision
            if (revision != null) {
                val before = observedRevisions.put(instance.name, revision) ?: 0
                if (revision < before) reverts.incrementAndGet()
            }
            delay(POLL_INTERVAL_MS)
        }
    }

    /**
     * Counts lost changes. A revision is accepted only once, so a lost change appears as a missing
     * or duplicate revision.
     */
    private suspend fun countLost(): Int {
        val recordedRevisions = cluster.revisions(service)
        return acceptedRevisions.count { it !in recordedRevisions } +
            (acceptedRevisions.size - acceptedRevisions.distinct().size)
    }
}
