package org.yuccawind.standins.scenario

import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServerRole

private const val SESSIONS = 12
private const val REQUESTS_PER_SESSION = 60
private const val REQUESTS_PER_WRITE = 10
private const val MAX_PAUSE_MS = 200L

/** Sessions that switch between instances of a [VirtualGroup], with one write per nine reads. */
internal class SessionSchedule(private val group: VirtualGroup, private val seed: Int) {
    /** Number of reads by the role of the server that served them. */
    val readsByRole = HashMap<ServerRole, Int>()

    /** Number of reads that missed a write of their own session. */
    var stale = 0
        private set

    /** Fraction of the reads served by replicas. */
    val replicaShare get() =
        (readsByRole[ServerRole.REPLICA] ?: 0).toDouble() / readsByRole.values.sum()

    suspend fun run() = coroutineScope {
        repeat(SESSIONS) { number -> launch { session(number, Random(seed + number)) } }
    }

    private suspend fun session(number: Int, random: Random) {
        var version = 0
        var seen = LogPoint.ZERO
        repeat(REQUESTS_PER_SESSION) { step ->
            delay(random.nextLong(MAX_PAUSE_MS).milliseconds)
            val runtime = group.runtimes.random(random)
            if (random.nextInt(REQUESTS_PER_WRITE) == 0) {
                val written = group.write(runtime, "$number/$step", "put k$number ${++version}")
                seen = written.getOrNull()!!.point
            } else {
                val read = group.read(runtime, "get k$number", seen).getOrNull()!!
                readsByRole.merge(read.role, 1, Int::plus)
                if ((read.rows.firstOrNull()?.toInt() ?: 0) < version) stale++
                seen = maxOf(seen, read.end)
            }
        }
    }
}
