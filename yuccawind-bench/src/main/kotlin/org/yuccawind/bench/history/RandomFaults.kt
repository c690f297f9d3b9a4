package org.yuccawind.bench.history

import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.bench.cluster.Cluster
import org.yuccawind.bench.cluster.DatabaseProcess
import org.yuccawind.bench.cluster.Signal
import org.yuccawind.standins.database.DatabaseFaults
import org.yuccawind.standins.platform.PlatformFaults

private const val MAX_INTERVAL_MS = 4_000L
private const val SLOW_CALL_MS = 1_500L
private const val PRIMARY_SHARE = 0.6
private const val MIN_DURATION_MS = 300L
private const val MAX_DURATION_MS = 4_000L
private const val CONTROL_TIMEOUT_MS = 1_000L
private const val CONTROL_ATTEMPTS = 10

/**
 * Injects random faults into a cluster and removes each after a random time of 0.3 to 4 s. Faults
 * may overlap. Connections silenced by a `SILENCE` fault stay silent.
 *
 * @property cluster target cluster
 * @property primary returns the server that last acknowledged a write, or null if unknown
 */
internal class RandomFaults(
    private val cluster: Cluster,
    seed: Int,
    private val primary: () -> String?
) {
    private val random = Random(seed)
    private val injected = AtomicInteger()
    private val databases = cluster.databases.values.flatten()
    private val zones = cluster.spec.zones
    private val activeTargets = HashSet<String>()
    private var silenceCount = 0
    private val isolatedZones = HashSet<String>()
    private val hungDatabases = HashSet<String>()
    private var isPlatformOut = false

    /** Number of faults injected so far. */
    val count get() = injected.get()

    /** Injects faults until [end]; returns when all timed faults have been removed. */
    suspend fun run(end: ComparableTimeMark): Unit = coroutineScope {
        while (end.hasNotPassedNow()) {
            val kind = Kind.entries.random(random)
            val duration = random.nextLong(MIN_DURATION_MS, MAX_DURATION_MS).milliseconds
            val seed = random.nextInt()
            launch { inject(kind, duration, Random(seed)) }
            delay(random.nextLong(MAX_INTERVAL_MS).milliseconds)
        }
    }

    private suspend fun inject(kind: Kind, duration: Duration, faultRandom: Random) {
        val target = target(kind, faultRandom)
        if (!activeTargets.add(target)) return
        injected.incrementAndGet()
        println(
            "fault=${kind.name.lowercase()} target=$target for_ms=${duration.inWholeMilliseconds}"
        )
        try {
            applyFault(kind, target, duration)
        } finally {
            activeTargets.remove(target)
        }
    }

    private fun target(kind: Kind, faultRandom: Random): String = when (kind) {
        Kind.KILL_INSTANCE, Kind.FREEZE_INSTANCE -> cluster.instances.random(faultRandom).name

        Kind.KILL_DATABASE, Kind.FREEZE_DATABASE, Kind.HANG_DATABASE, Kind.SILENCE ->
            randomDatabase(faultRandom)

        Kind.CUT_ZONE -> zones.random(faultRandom)

        Kind.PLATFORM_OUT, Kind.PLATFORM_SLOW, Kind.LOSE_REPLIES -> "platform"
    }

    /** Prefers the primary, because most faults affect writes only there. */
    private fun randomDatabase(faultRandom: Random): String {
        val primaryName = primary()
        return if (primaryName != null && faultRandom.nextDouble() < PRIMARY_SHARE) {
            primaryName
        } else {
            databases.random(faultRandom).name
        }
    }

    private suspend fun applyFault(kind: Kind, target: String, duration: Duration) {
        when (kind) {
            Kind.KILL_INSTANCE -> restartInstance(target, duration)
            Kind.KILL_DATABASE -> restartDatabase(database(target), duration)
            Kind.FREEZE_INSTANCE, Kind.FREEZE_DATABASE -> freezeProcess(target, duration)
            Kind.HANG_DATABASE -> hangDatabase(target, duration)
            Kind.SILENCE -> silenceConnections(target)
            Kind.CUT_ZONE -> isolateZone(target, duration)
            Kind.PLATFORM_OUT -> faultPlatform(PlatformFaults(isOut = true), duration)
            Kind.PLATFORM_SLOW -> faultPlatform(PlatformFaults(slowMs = SLOW_CALL_MS), duration)
            Kind.LOSE_REPLIES -> faultPlatform(PlatformFaults(loseReplies = 2), duration)
        }
    }

    private suspend fun restartInstance(name: String, duration: Duration) {
        cluster.signal(name, Signal.KILL)
        delay(duration)
        cluster.startInstance(cluster.instances.first { it.name == name })
    }

    private suspend fun restartDatabase(database: DatabaseProcess, duration: Duration) {
        cluster.signal(database.name, Signal.KILL)
        delay(duration)
        cluster.startDatabase(database)
        updateFaults(database)
    }

    private suspend fun freezeProcess(name: String, duration: Duration) {
        cluster.signal(name, Signal.FREEZE)
        delay(duration)
        cluster.signal(name, Signal.THAW)
    }

    private suspend fun hangDatabase(name: String, duration: Duration) {
        hungDatabases += name
        updateFaults(database(name))
        delay(duration)
        hungDatabases -= name
        updateFaults(database(name))
    }

    private suspend fun silenceConnections(name: String) {
        silenceCount++
        updateFaults(database(name))
    }

    private suspend fun isolateZone(zone: String, duration: Duration) {
        isolatedZones += zone
        updateAllFaults()
        delay(duration)
        isolatedZones -= zone
        updateAllFaults()
    }

    private suspend fun faultPlatform(faults: PlatformFaults, duration: Duration) {
        isPlatformOut = true
        retryControl { cluster.inject(faults.copy(cutZones = isolatedZones.toSet())) }
        delay(duration)
        isPlatformOut = false
        retryControl { cluster.inject(PlatformFaults(cutZones = isolatedZones.toSet())) }
    }

    private suspend fun updateAllFaults() {
        if (!isPlatformOut) {
            retryControl { cluster.inject(PlatformFaults(cutZones = isolatedZones.toSet())) }
        }
        coroutineScope { for (database in databases) launch { updateFaults(database) } }
    }

    /** An isolated zone is cut off from every other zone in both directions. */
    private suspend fun updateFaults(database: DatabaseProcess) = retryControl {
        val zone = database.zone.value
        val unreachableZones = if (zone in isolatedZones) zones - zone else isolatedZones.toList()
        val faults = DatabaseFaults(
            database.name in hungDatabases,
            unreachableZones.toSet(),
            silenceCount
        )
        cluster.inject(database, faults)
    }

    /**
     * Retries [block], because a suspended or stopped process accepts fault settings only after it
     * has resumed.
     */
    private suspend fun retryControl(block: suspend () -> Unit) {
        repeat(CONTROL_ATTEMPTS) {
            val isApplied =
                withTimeoutOrNull(CONTROL_TIMEOUT_MS) { runCatching { block() }.isSuccess }
            if (isApplied == true) return
            delay(MIN_DURATION_MS)
        }
    }

    private fun database(name: String) = databases.first { it.name == name }

    private enum class Kind {
        KILL_INSTANCE,
        KILL_DATABASE,
        FREEZE_INSTANCE,
        FREEZE_DATABASE,
        HANG_DATABASE,
        SILENCE,
        CUT_ZONE,
        PLATFORM_OUT,
        PLATFORM_SLOW,
        LOSE_REPLIES
    }
}
