package org.yuccawind.bench.reads

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.runBlocking
import org.yuccawind.bench.client.CallerClient
import org.yuccawind.bench.cluster.Cluster

private const val WARM_UP_SECONDS = 2
private const val TARGET_LAG_MS = 100
private val LAGS_MS = listOf(20, 100, 500, 2_000)
private const val ALL = "all"
private const val PREDICTED = "predicted"
private const val PRIMARY_ONLY = "primary-only"
private val POLICIES = listOf(PRIMARY_ONLY, "replica-without-wait", PREDICTED)

/** Compares the read policies on the users' deployments at several replication lags. */
internal class ReadsBench(args: List<String>) {
    private val options = ReadsOptions("reads", args)

    /** Runs the benchmark and returns the exit code: 1 if a read was stale, else 0. */
    fun run(): Int {
        val results = ArrayList<PolicyResult>()
        val lags = if (options.lagMs == 0) LAGS_MS else listOf(options.lagMs)
        for (user in UserDeployment.entries.filter { options.user in listOf(it.label, ALL) }) {
            for (policy in POLICIES) results += measure(user, policy, lags)
        }
        return report(results)
    }

    private fun measure(
        deployment: UserDeployment,
        policy: String,
        lags: List<Int>
    ): List<PolicyResult> {
        val cluster = Cluster(clusterOf(deployment, policy, lags.first()))
        return cluster.use {
            runBlocking {
                cluster.start()
                val clients = cluster.instances.map { CallerClient(it.callerAddress) }
                load(clients, deployment, 0).run(WARM_UP_SECONDS.seconds)
                lags.map { lag -> measureLag(cluster, clients, deployment, policy, lag) }
            }
        }
    }

    private fun clusterOf(deployment: UserDeployment, policy: String, lag: Int) =
        deployment.cluster(
            listOf(deployment.serviceSpec(deployment.service, lag, options.statementMs)),
            policy
        )

    private suspend fun measureLag(
        cluster: Cluster,
        clients: List<CallerClient>,
        deployment: UserDeployment,
        policy: String,
        lag: Int
    ): PolicyResult {
        cluster.setLag(deployment.service, lag)
        val stats = load(clients, deployment, lag).run(options.seconds.seconds)
        val result = PolicyResult(deployment, policy, lag, stats.replicaShare(), stats)
        println(result)
        return result
    }

    private fun load(clients: List<CallerClient>, deployment: UserDeployment, run: Int) =
        SessionLoad(
            clients,
            deployment.service,
            options.sessions,
            options.pauseMs.milliseconds,
            options.seed.toLong() + run
        )

    private fun report(results: List<PolicyResult>): Int {
        val lag = if (options.lagMs == 0) TARGET_LAG_MS else options.lagMs
        val atTargetLag = results.filter { it.lagMs == lag }
        val policy = atTargetLag.filter { it.policy == PREDICTED }
        val baseline = atTargetLag.filter { it.policy == PRIMARY_ONLY }
        val stale = results.sumOf { it.stats.stale }
        println(
            "replica_read_share=%.3f baseline_share=%.3f p99_ms=%.1f baseline_p99_ms=%.1f stale=%d"
                .format(
                    policy.minOf { it.share },
                    baseline.minOf { it.share },
                    policy.maxOf { it.stats.p99Ms },
                    baseline.maxOf { it.stats.p99Ms },
                    stale
                )
        )
        return if (stale == 0) 0 else 1
    }
}

/** Result of one read policy at one replication lag. */
private class PolicyResult(
    private val deployment: UserDeployment,
    val policy: String,
    val lagMs: Int,
    val share: Double,
    val stats: ReadStats
) {
    override fun toString() =
        "user=${deployment.label} policy=$policy lag_ms=$lagMs share=%.3f p50_ms=%.1f p99_ms=%.1f "
            .format(share, stats.p50Ms, stats.p99Ms) +
            "reads=${stats.served} writes=${stats.written} refused=${stats.refused} " +
            "stale=${stats.stale}"
}
