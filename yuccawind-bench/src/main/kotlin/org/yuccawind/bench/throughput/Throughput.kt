package org.yuccawind.bench.throughput

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource
import org.yuccawind.bench.cluster.Cluster
import org.yuccawind.bench.cluster.ClusterSpec
import org.yuccawind.bench.cluster.ProcessUsage
import org.yuccawind.bench.cluster.ServiceSpec
import org.yuccawind.bench.load.DirectTarget
import org.yuccawind.bench.load.LoadGenerator
import org.yuccawind.bench.load.LoadModel
import org.yuccawind.bench.load.LoadResult
import org.yuccawind.bench.load.LoadTarget
import org.yuccawind.bench.load.ProxyTarget
import org.yuccawind.bench.result.Figure
import org.yuccawind.bench.result.RunResult

private const val SERVICE = "throughput"
private const val STATEMENT = "get stock/1"
private const val CLIENT_CONNECTIONS = 8
private const val SLOTS = 16
private const val MEASUREMENTS = 6
private const val P50 = 50.0
private const val P99 = 99.0
private val WARM_UP = 10.seconds

/**
 * Measures the statements per second of one proxy and its added latency relative to a direct
 * connection to the same database stand-in, with the decision log on and off.
 */
internal class Throughput(private val parameters: ThroughputParameters) {
    private val generator = LoadGenerator(parameters.workers)
    private val measurementDuration = parameters.duration / MEASUREMENTS
    private val fixedRate = LoadModel.FixedRate(parameters.rate)

    /** Performs all measurements. */
    suspend fun run(): RunResult = Cluster(spec()).use { cluster ->
        cluster.start()
        val address = cluster.databases.getValue(SERVICE).single().address
        val direct = DirectTarget.open(address, parameters.workers, CLIENT_CONNECTIONS, STATEMENT)
        val logOn = proxyTarget(cluster, 0)
        val logOff = proxyTarget(cluster, 1)
        for (target in listOf(direct, logOn, logOff)) {
            generator.run(target, LoadModel.ClosedLoop, WARM_UP)
        }
        // Latency at a fixed rate is measured last, when JIT compilation has settled.
        val measurements = Measurements(
            directLimit = generator.run(direct, LoadModel.ClosedLoop, measurementDuration),
            logOnLimit = measure(cluster, 0, logOn, LoadModel.ClosedLoop),
            logOffLimit = measure(cluster, 1, logOff, LoadModel.ClosedLoop),
            direct = generator.run(direct, fixedRate, measurementDuration),
            logOn = measure(cluster, 0, logOn, fixedRate),
            logOff = measure(cluster, 1, logOff, fixedRate)
        )
        listOf(direct, logOn, logOff).forEach { it.close() }
        RunResult("throughput", 0, parameters.figures(), measurements.figures())
    }

    private fun spec() = ClusterSpec(
        zones = listOf("a"),
        instances = 2,
        services = listOf(
            ServiceSpec(
                SERVICE,
                1,
                SLOTS,
                connections = parameters.workers * 2 + parameters.workers
            )
        ),
        unloggedInstances = 1,
        instanceCores = parameters.cores
    )

    private fun proxyTarget(cluster: Cluster, instance: Int) = ProxyTarget(
        cluster.instances[instance].callerAddress,
        SERVICE,
        CLIENT_CONNECTIONS,
        STATEMENT
    )

    private suspend fun measure(
        cluster: Cluster,
        instance: Int,
        target: LoadTarget,
        model: LoadModel
    ): Measurement {
        val process = cluster.processId(cluster.instances[instance].name)
        val startedAt = TimeSource.Monotonic.markNow()
        val before = ProcessUsage.of(process).cpuTime
        val result = generator.run(target, model, measurementDuration)
        val cpuTime = ProcessUsage.of(process).cpuTime - before
        return Measurement(result, cpuTime, startedAt.elapsedNow())
    }

    private fun ThroughputParameters.figures() = listOf(
        Figure("seconds", duration.toDouble(DurationUnit.SECONDS)),
        Figure("rate", rate.toDouble()),
        Figure("workers", workers.toDouble()),
        Figure("proxy_cores", cores.toDouble())
    )

    private class Measurement(val load: LoadResult, val cpuTime: Duration, val elapsed: Duration) {
        val cores get() = cpuTime / elapsed
        val cpuMicrosPerStatement
            get() = cpuTime.toDouble(DurationUnit.MICROSECONDS) / load.latencies.totalCount
    }

    private class Measurements(
        val direct: LoadResult,
        val logOn: Measurement,
        val logOff: Measurement,
        val directLimit: LoadResult,
        val logOnLimit: Measurement,
        val logOffLimit: Measurement
    ) {
        fun figures() = listOf(
            Figure("direct_p50_ms", direct.percentileMs(P50)),
            Figure("direct_p99_ms", direct.percentileMs(P99)),
            Figure("log_on_p50_added_ms", logOn.load.percentileMs(P50) - direct.percentileMs(P50)),
            Figure("log_on_p99_added_ms", logOn.load.percentileMs(P99) - direct.percentileMs(P99)),
            Figure("log_on_per_second", logOn.load.perSecond),
            Figure("log_on_cpu_cores", logOn.cores),
            Figure("log_on_cpu_us_each", logOn.cpuMicrosPerStatement),
            Figure(
                "log_off_p50_added_ms",
                logOff.load.percentileMs(P50) - direct.percentileMs(P50)
            ),
            Figure(
                "log_off_p99_added_ms",
                logOff.load.percentileMs(P99) - direct.percentileMs(P99)
            ),
            Figure("log_off_cpu_cores", logOff.cores),
            Figure("log_off_cpu_us_each", logOff.cpuMicrosPerStatement),
            Figure("direct_limit_per_second", directLimit.perSecond),
            Figure("log_on_limit_per_second", logOnLimit.load.perSecond),
            Figure("log_on_limit_cpu_cores", logOnLimit.cores),
            Figure("log_off_limit_per_second", logOffLimit.load.perSecond),
            Figure("log_off_limit_cpu_cores", logOffLimit.cores),
            Figure("failures", failures().toDouble())
        )

        private fun failures() = direct.failures + directLimit.failures +
            listOf(logOn, logOff, logOnLimit, logOffLimit).sumOf { it.load.failures }
    }
}
