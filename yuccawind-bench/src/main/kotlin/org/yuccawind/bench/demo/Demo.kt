package org.yuccawind.bench.demo

import java.util.UUID
import kotlin.time.TimeSource
import kotlinx.coroutines.runBlocking
import org.yuccawind.bench.client.CallerClient
import org.yuccawind.bench.client.CallerReply
import org.yuccawind.bench.cluster.Cluster
import org.yuccawind.bench.cluster.ClusterSpec
import org.yuccawind.bench.cluster.ServiceSpec
import org.yuccawind.bench.cluster.Signal
import org.yuccawind.core.model.RequestId
import org.yuccawind.core.result.ResultCode
import org.yuccawind.proxy.caller.CallerAnswer
import org.yuccawind.proxy.caller.ReadBody
import org.yuccawind.proxy.caller.WriteBody

private const val SERVICE = "match-pairing"
private val ZONES = listOf("ch-mitte-a", "ch-mitte-b", "ch-mitte-c")

/** Demonstrates a write, a read at another instance, and both again after the primary is killed. */
internal class Demo {
    private val startedAt = TimeSource.Monotonic.markNow()
    private var session = ""
    private var step = "start"

    /** Runs all steps and returns the exit code. */
    fun run(): Int {
        val cluster = Cluster(ClusterSpec(ZONES, 3, listOf(ServiceSpec(SERVICE))))
        return cluster.use {
            try {
                runBlocking { runSteps(cluster) }
                println("demo=ok")
                0
            } catch (e: Exception) {
                cluster.keepLogs = true
                println("detail=${e.message} logs=${cluster.logDirectory}")
                println("demo=failed step=$step")
                1
            }
        }
    }

    private suspend fun runSteps(cluster: Cluster) {
        cluster.start()
        println("step=start processes=${cluster.processCount} ${elapsed()}")
        val (first, second, third) = cluster.instances.map { CallerClient(it.callerAddress) }
        val primary = write("write", first, "class-7b")
        read("read_elsewhere", second, "class-7b")
        step = "kill_primary"
        cluster.signal(checkNotNull(primary), Signal.KILL)
        println("step=kill_primary server=$primary ${elapsed()}")
        val next = write("write_after_failover", second, "class-4a")
        check(next != primary) { "$primary answered after it had been killed" }
        read("read_after_failover", third, "class-4a")
    }

    private suspend fun write(name: String, client: CallerClient, partner: String): String? {
        step = name
        val statement = "put pairing/zug-5c $partner"
        val id = RequestId(UUID.randomUUID().toString())
        return checkAndPrint(
            client.write(SERVICE, WriteBody(id, listOf(statement)), session)
        ).server
    }

    private suspend fun read(name: String, client: CallerClient, expected: String) {
        step = name
        val answer = checkAndPrint(client.read(SERVICE, ReadBody("get pairing/zug-5c"), session))
        check(answer.rows == listOf(expected)) { "expected $expected, read ${answer.rows}" }
    }

    private fun checkAndPrint(reply: CallerReply): CallerAnswer {
        check(reply is CallerReply.Answered) { "no answer: $reply" }
        val answer = reply.answer
        val summary = "code=${answer.code} name=${answer.name} server=${answer.server}"
        println("step=$step $summary session=${reply.session} ${elapsed()}")
        check(answer.code == ResultCode.OK.number) { "code ${answer.code}: ${answer.detail}" }
        session = reply.session
        return answer
    }

    private fun elapsed() = "elapsed_ms=${startedAt.elapsedNow().inWholeMilliseconds}"
}
