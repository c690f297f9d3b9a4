package org.yuccawind.bench.slopes

import com.linecorp.armeria.client.WebClient
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeSource
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import org.yuccawind.bench.cluster.Cluster
import org.yuccawind.bench.cluster.ClusterSpec
import org.yuccawind.bench.cluster.InstanceProcess
import org.yuccawind.bench.cluster.ProcessUsage
import org.yuccawind.bench.cluster.ServiceSpec

private const val BYTES_PER_MB = 1_048_576.0
private const val PERCENT = 100
private const val INSTANCE_CORES = 2
private const val BYTES_METRIC = "yuccawind_control_bytes_total"
private val ZONES = listOf("a", "b", "c")

/** Measures the cost of control traffic per instance in a cluster without callers. */
internal class IdleFleet(private val size: FleetSize) {
    /** Waits for [settleTime], then returns the mean cost of an instance over [duration]. */
    suspend fun measure(settleTime: Duration, duration: Duration): InstanceCost =
        Cluster(spec()).use { cluster ->
            cluster.start()
            delay(settleTime)
            val startedAt = TimeSource.Monotonic.markNow()
            val before = takeSnapshot(cluster)
            delay(duration)
            val after = takeSnapshot(cluster)
            after.costSince(before, startedAt.elapsedNow(), size.instances)
        }

    private fun spec() = ClusterSpec(
        ZONES,
        size.instances,
        List(size.services) { ServiceSpec("service-${it + 1}", size.servers) },
        instanceCores = INSTANCE_CORES
    )

    private suspend fun takeSnapshot(cluster: Cluster): UsageSnapshot {
        val usage = cluster.instances.map { ProcessUsage.of(cluster.processId(it.name)) }
        val metricTexts = cluster.instances.map { metrics(it) }
        val counts = cluster.platformCounts()
        return UsageSnapshot(
            usage.sumOf { it.cpuTime.toDouble(DurationUnit.SECONDS) },
            usage.sumOf { it.residentBytes.toDouble() },
            bytes(metricTexts, "platform"),
            bytes(metricTexts, "peer"),
            bytes(metricTexts, "backend"),
            (counts.reads + counts.writes + counts.watches).toDouble()
        )
    }

    private suspend fun metrics(instance: InstanceProcess) =
        WebClient.of("http://${instance.operatorAddress}").get("/metrics").aggregate().await()
            .contentUtf8()

    private fun bytes(metricTexts: List<String>, channel: String) = metricTexts
        .flatMap(String::lines)
        .filter { it.startsWith(BYTES_METRIC) && "channel=\"$channel\"" in it }
        .sumOf { it.substringAfterLast(' ').toDouble() }

    private class UsageSnapshot(
        val cpuSeconds: Double,
        val residentBytes: Double,
        val platformBytes: Double,
        val peerBytes: Double,
        val backendBytes: Double,
        val platformCalls: Double
    ) {
        fun costSince(before: UsageSnapshot, elapsed: Duration, instances: Int): InstanceCost {
            val instanceSeconds = instances * elapsed.toDouble(DurationUnit.SECONDS)
            return InstanceCost(
                (cpuSeconds - before.cpuSeconds) / instanceSeconds * PERCENT,
                residentBytes / instances / BYTES_PER_MB,
                (platformBytes - before.platformBytes) / instanceSeconds,
                (peerBytes - before.peerBytes) / instanceSeconds,
                (backendBytes - before.backendBytes) / instanceSeconds,
                (platformCalls - before.platformCalls) / instanceSeconds
            )
        }
    }
}
