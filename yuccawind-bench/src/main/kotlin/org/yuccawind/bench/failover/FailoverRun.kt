package org.yuccawind.bench.failover

import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.yuccawind.bench.client.CallerClient
import org.yuccawind.bench.client.CallerReply
import org.yuccawind.bench.cluster.Cluster
import org.yuccawind.bench.cluster.DatabaseProcess
import org.yuccawind.bench.cluster.Signal
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.port.InstanceEntry
import org.yuccawind.core.result.ResultCode
import org.yuccawind.proxy.caller.ReadBody
import org.yuccawind.standins.database.DatabaseFaults
import org.yuccawind.standins.platform.PlatformFaults

private val WARM_UP = 3.seconds
private val FREEZE_DURATION = 10.seconds
private val PARTITION_DURATION = 10.seconds
private val OUTAGE_DURATION = 3.seconds
private val GAP_LIMIT = 15.seconds
private val STABLE_TIME = 2.seconds
private val READ_INTERVAL = 50.milliseconds
private val GAP_THRESHOLD = 300.milliseconds

/** Injects one fault into a new cluster while a writer and a reader run continuously. */
internal class FailoverRun(
    private val cluster: Cluster,
    private val service: String,
    private val fault: Fault,
    private val faultFreeTime: Duration
) {
    private val clients = cluster.instances.map { CallerClient(it.callerAddress) }
    private val writer = SequentialWriter(service, ::reachableClients)

    /**
     * Zone isolated by the current partition; null if there is none. Instances in it can't complete
     * writes until the partition ends, so the writer skips them.
     */
    @Volatile
    private var cutZone: AvailabilityZone? = null
    private val readsInGap = AtomicInteger()

    @Volatile
    private var isStopped = false

    /** Performs the run and returns its result. */
    suspend fun run(): FailoverResult = coroutineScope {
        cluster.start()
        val writerJob = launch { writer.run { isStopped } }
        launch { readContinuously() }
        delay(WARM_UP)
        awaitFirstWrite()
        val termBefore = cluster.term(service)
        writer.resetGap()
        inject()
        awaitRecovery()
        val longestGap = maxOf(writer.longestGap, writer.lastAcknowledgedAt.elapsedNow())
        isStopped = true
        val termsTaken = cluster.term(service) - termBefore
        writerJob.join()
        result(longestGap, termsTaken)
    }

    private fun reachableClients(): List<CallerClient> =
        clients.filterIndexed { index, _ -> cluster.instances[index].zone != cutZone }

    private suspend fun awaitFirstWrite() {
        while (writer.server == null) delay(READ_INTERVAL)
    }

    private suspend fun inject() {
        val primary = cluster.databases.getValue(service).first { it.name == writer.server }
        when (fault) {
            Fault.KILL -> cluster.signal(primary.name, Signal.KILL)

            Fault.FREEZE -> {
                cluster.signal(primary.name, Signal.FREEZE)
                delay(FREEZE_DURATION)
                cluster.signal(primary.name, Signal.THAW)
            }

            Fault.PARTITION -> {
                cutZone = primary.zone
                partition(primary)
                delay(PARTITION_DURATION)
                healPartition()
                cutZone = null
            }

            Fault.LEAVE -> cluster.setInstances(
                cluster.instanceEntries() +
                    InstanceEntry(primary.name, primary.zone, leaving = true)
            )

            Fault.PLATFORM_DOWN_TOO -> {
                cluster.inject(PlatformFaults(isOut = true))
                cluster.signal(primary.name, Signal.KILL)
                delay(OUTAGE_DURATION)
                cluster.inject(PlatformFaults())
            }

            Fault.NONE -> delay(faultFreeTime)
        }
    }

    private suspend fun partition(primary: DatabaseProcess) {
        val group = cluster.databases.getValue(service)
        val others = group.map { it.zone.value }.toSet() - primary.zone.value
        for (database in group) {
            val zones = if (database == primary) others else setOf(primary.zone.value)
            cluster.inject(database, DatabaseFaults(cutZones = zones))
        }
    }

    private suspend fun healPartition() =
        cluster.databases.getValue(service).forEach { cluster.inject(it, DatabaseFaults()) }

    private suspend fun awaitRecovery() {
        delay(if (fault == Fault.NONE) Duration.ZERO else STABLE_TIME * 2)
        val startedAt = TimeSource.Monotonic.markNow()
        while (
            writer.lastAcknowledgedAt.elapsedNow() > STABLE_TIME &&
            startedAt.elapsedNow() < GAP_LIMIT
        ) {
            delay(READ_INTERVAL)
        }
        delay(STABLE_TIME)
    }

    private suspend fun readContinuously() {
        var requestCount = 0
        while (!isStopped) {
            val reply = clients[requestCount++ % clients.size].read(service, ReadBody("get k1"))
            val isServed = reply is CallerReply.Answered &&
                reply.answer.code == ResultCode.OK.number
            if (isServed && writer.lastAcknowledgedAt.elapsedNow() > GAP_THRESHOLD) {
                readsInGap.incrementAndGet()
            }
            delay(READ_INTERVAL)
        }
    }

    private suspend fun result(longestGap: Duration, termsTaken: Long): FailoverResult {
        val values = writer.keys().flatMap { readCurrent(it) }
        val finalValues = values.toSet()
        val duplicates = values.size - finalValues.size
        return FailoverResult(
            gapMs = longestGap.inWholeMilliseconds,
            acknowledged = writer.acknowledged.size,
            refused = writer.refused.size,
            lost = (writer.acknowledged - finalValues).size,
            doubled = duplicates + writer.refused.count { it in finalValues },
            falsePromotions = termsTaken - fault.expectedPromotions,
            readsInGap = readsInGap.get()
        )
    }

    /** Reads the latest committed list at [key] with a maximum age of zero. */
    private suspend fun readCurrent(key: String): List<String> {
        val reply = clients.first().read(service, ReadBody("get $key", kind = "current"))
        check(reply is CallerReply.Answered && reply.answer.code == ResultCode.OK.number) {
            "final read of $key failed: $reply"
        }
        return reply.answer.rows.flatMap { it.split(',') }
    }
}
