package org.yuccawind.core.failover

import arrow.core.Either
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServerStatus
import org.yuccawind.core.port.BackendError
import org.yuccawind.core.port.BackendServer

private val MIN_REFUSAL_DURATION = 150.milliseconds

/** Tracks for how long each backend server has refused connections without interruption. */
class Reachability(private val time: TimeSource.WithComparableMarks) {
    private val refusalPeriods = ConcurrentHashMap<BackendServerName, RefusalPeriod>()

    /** Returns a wrapper of [server] that records the results of its status calls here. */
    fun monitor(server: BackendServer): BackendServer = MonitoredServer(server)

    /**
     * Returns true if [server] has refused connections for at least 150 ms, longer than a process
     * restart takes.
     */
    fun isRefusing(server: BackendServerName): Boolean {
        val period = refusalPeriods[server] ?: return false
        return period.last - period.first >= MIN_REFUSAL_DURATION
    }

    private fun record(server: BackendServerName, answer: Either<BackendError, ServerStatus>) {
        val isRefused = answer.leftOrNull() is BackendError.NotSent
        if (!isRefused) {
            refusalPeriods.remove(server)
            return
        }
        val now = time.markNow()
        refusalPeriods.merge(server, RefusalPeriod(now, now)) { old, new ->
            RefusalPeriod(old.first, new.last)
        }
    }

    private data class RefusalPeriod(val first: ComparableTimeMark, val last: ComparableTimeMark)

    private inner class MonitoredServer(private val server: BackendServer) :
        BackendServer by server {
        override suspend fun status() = server.status().also { record(server.name, it) }
    }
}
