package org.yuccawind.standins.config

import arrow.core.Either
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.testTimeSource
import kotlinx.serialization.json.Json
import org.yuccawind.core.config.AcceptedChange
import org.yuccawind.core.config.BackendServerConfig
import org.yuccawind.core.config.ConfigChange
import org.yuccawind.core.config.ServiceConfig
import org.yuccawind.core.config.ServiceRecord
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.result.Refusal
import org.yuccawind.core.result.ResultCode
import org.yuccawind.standins.platform.PlatformFaults

private const val STEPS = 12
private const val REORDER_PERCENT = 15

/**
 * A random schedule of concurrent configuration changes, outages, partitions, lost replies and
 * restarts on a [VirtualFleet].
 */
@OptIn(ExperimentalCoroutinesApi::class)
class ConfigFaultSchedule(
    private val test: TestScope,
    private val fleet: VirtualFleet,
    seed: Long
) {
    private val random = Random(seed)
    private val time = test.testTimeSource
    private val service = ServiceName("pairing")
    private var changes = 0
    private val results = HashMap<String, Either<Refusal, AcceptedChange>>()

    /** Descriptions of all violations found in the run. */
    val violations = ArrayList<String>()

    suspend fun run() {
        fleet.start()
        fleet.network.reorderPercent = REORDER_PERCENT
        coroutineScope { repeat(STEPS) { step(this) } }
        clearFaults()
        delay(5.seconds)
        verifyAll()
    }

    private suspend fun step(scope: CoroutineScope) {
        when (random.nextInt(7)) {
            0, 1 -> applyConcurrently()
            2 -> scope.launch { apply(base = null) }
            3 -> platformFault(scope)
            4 -> peerFault(scope)
            5 -> scope.launch { restart() }
            else -> delay(random.nextLong(3_000).milliseconds)
        }
        delay(random.nextLong(400).milliseconds)
    }

    /** Two or three operators change the same revision at the same time. */
    private suspend fun applyConcurrently() = coroutineScope {
        val base = stored()?.revision ?: 0
        val nonces = List(random.nextInt(2, 4)) { async { apply(base) } }.awaitAll()
        val accepted = nonces.mapNotNull { results.getValue(it).getOrNull() }
        if (accepted.size > 1) violations += "${accepted.size} changes of revision $base accepted"
        val conflicts = nonces.count { codeOf(it) == ResultCode.CONFIG_CONFLICT }
        val isChanged = (stored()?.revision ?: 0) > base
        if (conflicts > 0 && !isChanged) violations += "a conflict without another change"
    }

    private suspend fun apply(base: Long?): String {
        val nonce = "n${changes++}"
        val running = fleet.instances.filter { it.isRunning }
        val instance = running.random(random)
        val config = if (random.nextInt(6) == 0) null else config(changes)
        val change = ConfigChange(service, base, config, "op", nonce, 0)
        results[nonce] = instance.store.apply(change, time.markNow() + 4.seconds)
        return nonce
    }

    private fun platformFault(scope: CoroutineScope) {
        val faults = when (random.nextInt(4)) {
            0 -> PlatformFaults(isOut = true)
            1 -> PlatformFaults(loseReplies = random.nextInt(1, 4))
            2 -> PlatformFaults(slowMs = random.nextLong(800))
            else -> PlatformFaults(cutZones = setOf(fleet.zones.random(random)))
        }
        fleet.platform.inject(faults)
        scope.launch {
            delay(random.nextLong(6_000).milliseconds)
            fleet.platform.inject(PlatformFaults())
        }
    }

    private fun peerFault(scope: CoroutineScope) {
        fleet.network.lossPercent = random.nextInt(60)
        if (random.nextBoolean()) fleet.network.cutZones = setOf(fleet.zones.random(random))
        scope.launch {
            delay(random.nextLong(6_000).milliseconds)
            fleet.network.cutZones = emptySet()
        }
    }

    private suspend fun restart() {
        val instance = fleet.instances.random(random)
        instance.stop()
        delay(random.nextLong(1_500).milliseconds)
        if (!instance.isRunning) instance.start()
    }

    private fun clearFaults() {
        fleet.platform.inject(PlatformFaults())
        fleet.network.lossPercent = 0
        fleet.network.cutZones = emptySet()
    }

    private fun verifyAll() {
        val record = stored()
        val storedChanges = record?.let { listOf(it.toAcceptedChange()) + it.history }.orEmpty()
        val accepted = results.values.mapNotNull { it.getOrNull() }
        val lost = accepted.filterNot { change -> storedChanges.any { it == change } }
        if (lost.isNotEmpty()) violations += "accepted and lost: $lost"
        val refused = results.keys.filter { codeOf(it) in NOT_WRITTEN }
        val applied = refused.filter { nonce -> storedChanges.any { it.nonce == nonce } }
        if (applied.isNotEmpty()) violations += "refused and in force: $applied"
        val behind = fleet.instances.filter { it.record(service) != record }
        if (behind.isNotEmpty()) {
            violations += "${behind.size} instances behind 5 s after the faults"
        }
        val unready = fleet.instances.filterNot { it.isReady }
        if (unready.isNotEmpty()) violations += "${unready.size} instances not ready"
        if (fleet.reverts > 0) violations += "${fleet.reverts} reverts"
    }

    private fun codeOf(nonce: String) = results.getValue(nonce).leftOrNull()?.code

    private fun stored(): ServiceRecord? = fleet.platform.get("services/$service")
        ?.let { Json.decodeFromString(ServiceRecord.serializer(), it.value) }

    private fun config(slots: Int) = ServiceConfig(
        service,
        fleet.zones.mapIndexed { index, zone ->
            BackendServerConfig(
                BackendServerName("db-$index"),
                AvailabilityZone(zone),
                "127.0.0.1:${7_000 + index}",
                slots
            )
        }
    )

    private companion object {
        val NOT_WRITTEN = setOf(ResultCode.CONFIG_CONFLICT, ResultCode.PLATFORM_UNAVAILABLE)
    }
}
