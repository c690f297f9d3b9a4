package org.yuccawind.bench.overload

import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import org.yuccawind.bench.client.CallerClient
import org.yuccawind.bench.client.CallerReply
import org.yuccawind.bench.cluster.Cluster
import org.yuccawind.bench.reads.UserDeployment
import org.yuccawind.proxy.caller.ReadBody

private const val OTHER_SERVICE = "match-routing"
private const val OTHER_RATE = 50
private const val SERVERS = 3
private const val SLOTS = 2
private const val MS_PER_SECOND = 1_000
private const val OVERLOAD_FACTOR = 3.0
private const val LAG_MS = 20
private const val WARM_UP_SECONDS = 3
private val LOAD_FACTORS = listOf(0.5, 0.75, 1.0, OVERLOAD_FACTOR)

/** Raises the load of one service above its capacity while another has a constant load. */
internal class OverloadBench(args: List<String>) {
    private val options = OverloadOptions(args)
    private val deployment = UserDeployment.FEDERBRUECKE
    private val random = Random(options.seed)
    private val capacity = SERVERS * SLOTS * MS_PER_SECOND / options.statementMs

    /** Runs the benchmark and returns the exit code: 1 if a refused write was executed, else 0. */
    fun run(): Int {
        val services = listOf(deployment.service, OTHER_SERVICE).map {
            deployment.serviceSpec(it, LAG_MS, options.statementMs)
        }
        return Cluster(deployment.cluster(services)).use {
            runBlocking { measure(it) }
        }
    }

    private suspend fun measure(cluster: Cluster): Int {
        cluster.start()
        val clients = cluster.instances.map { CallerClient(it.callerAddress) }
        OpenLoopLoad(clients, deployment.service, OTHER_RATE, random).run(WARM_UP_SECONDS.seconds)
        OpenLoopLoad(clients, OTHER_SERVICE, OTHER_RATE, random).run(WARM_UP_SECONDS.seconds)
        val unloaded = OpenLoopLoad(clients, OTHER_SERVICE, OTHER_RATE, random)
            .run(options.seconds.seconds)
        val steps = LOAD_FACTORS.map { step(clients, it) }
        val refusedButRan = steps.flatMap { it.loaded.refusedKeys }.count { isWritten(clients, it) }
        report(unloaded, steps, refusedButRan)
        return if (refusedButRan == 0) 0 else 1
    }

    private suspend fun step(clients: List<CallerClient>, factor: Double) = coroutineScope {
        val duration = options.seconds.seconds
        val perSecond = (capacity * factor).toInt()
        val other = async { OpenLoopLoad(clients, OTHER_SERVICE, OTHER_RATE, random).run(duration) }
        val loaded = OpenLoopLoad(clients, deployment.service, perSecond, random).run(duration)
        Step(factor, loaded, other.await()).also(::println)
    }

    /** True if [key], whose write was refused without execution, can still be read at age zero. */
    private suspend fun isWritten(clients: List<CallerClient>, key: String): Boolean {
        val reply = clients.first().read(deployment.service, ReadBody("get $key", "current"))
        check(reply is CallerReply.Answered) { "no response to the read of $key" }
        return reply.answer.rows.isNotEmpty()
    }

    private fun report(unloaded: LoadStats, steps: List<Step>, refusedButRan: Int) {
        val peak = steps.maxOf { it.loaded.goodput }
        val overloadStep = steps.single { it.factor == OVERLOAD_FACTOR }
        println(
            "goodput_share=%.3f goodput=%.0f peak=%.0f other_p99_ms=%.1f ".format(
                overloadStep.loaded.goodput / peak,
                overloadStep.loaded.goodput,
                peak,
                overloadStep.other.p99Ms
            ) + "other_unloaded_p99_ms=%.1f untruthful=%d checked=%d".format(
                unloaded.p99Ms,
                refusedButRan,
                steps.sumOf { it.loaded.refusedKeys.size }
            )
        )
    }
}

/** Results of both services at one load factor. */
private class Step(val factor: Double, val loaded: LoadStats, val other: LoadStats) {
    override fun toString() =
        "load=%.2f goodput=%.0f p99_ms=%.1f ".format(factor, loaded.goodput, loaded.p99Ms) +
            "refused=${loaded.refused} other_p99_ms=%.1f".format(other.p99Ms) +
            " other_refused=${other.refused}"
}
