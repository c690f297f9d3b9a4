package org.yuccawind.bench.config

import kotlin.random.Random
import kotlinx.coroutines.runBlocking
import org.yuccawind.bench.cluster.Cluster
import org.yuccawind.bench.cluster.ClusterSpec
import org.yuccawind.bench.cluster.ServiceSpec

private const val EXIT_OK = 0
private const val EXIT_FAILED = 1
private const val EXIT_USAGE = 2
private const val INSTANCES = 6
private val ZONES = listOf("ch-mitte-a", "ch-mitte-b", "ch-mitte-c")
private const val SERVICE = "match-pairing"

/** Measures how soon accepted configuration changes are in force on all instances. */
internal class ConfigBench {
    /** Runs the benchmark with the seed in [args] and returns the exit code. */
    fun run(args: List<String>): Int {
        val seed = if (args.firstOrNull() == "--seed") args.getOrNull(1)?.toLongOrNull() else null
        if (seed == null || args.size != 2) {
            System.err.println("usage: yuccawind-bench config --seed N")
            return EXIT_USAGE
        }
        val spec = ClusterSpec(ZONES, INSTANCES, listOf(ServiceSpec(SERVICE)), decisionLog = false)
        return Cluster(spec).use { cluster ->
            val result = runBlocking { ConfigRun(cluster, SERVICE, Random(seed)).run() }
            println(result)
            if (result.meetsLimits) EXIT_OK else EXIT_FAILED
        }
    }
}
