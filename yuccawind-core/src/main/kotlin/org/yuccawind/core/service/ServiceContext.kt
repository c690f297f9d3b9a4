package org.yuccawind.core.service

import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.config.ServiceConfig
import org.yuccawind.core.evidence.EvidenceProber
import org.yuccawind.core.evidence.EvidenceStore
import org.yuccawind.core.failover.LeavingPolicy
import org.yuccawind.core.failover.WriteGate
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.pool.ConnectionPool
import org.yuccawind.core.port.BackendServer
import org.yuccawind.core.port.DecisionLog

/**
 * Dependencies shared by the components of one service.
 *
 * @property config configuration in force
 * @property zone availability zone of this instance
 * @property servers backend servers by name
 * @property pools connection pool of each backend server
 * @property evidence observed state of the database group
 * @property prober polls the backend servers and updates [evidence]
 * @property time clock
 * @property log records routing and placement decisions
 * @property gate holds new writes during a handover
 * @property leaving decides which servers get no new work because they are leaving
 */
class ServiceContext(
    val config: ServiceConfig,
    val zone: AvailabilityZone,
    val servers: Map<BackendServerName, BackendServer>,
    val pools: Map<BackendServerName, ConnectionPool>,
    val evidence: EvidenceStore,
    val prober: EvidenceProber,
    val time: TimeSource.WithComparableMarks,
    val log: DecisionLog,
    val gate: WriteGate,
    val leaving: LeavingPolicy
) {
    /** Evaluates [query] after each update of the evidence; null if [deadline] passes first. */
    suspend fun <T : Any> awaitEvidence(deadline: ComparableTimeMark, query: () -> T?): T? =
        query() ?: withTimeoutOrNull(-deadline.elapsedNow()) { poll(query) }

    /** Requests a probe and waits for evidence newer than [version], at most until [deadline]. */
    suspend fun awaitEvidenceAfter(version: Long, deadline: ComparableTimeMark) {
        prober.requestRound()
        withTimeoutOrNull(-deadline.elapsedNow()) { evidence.version.first { it > version } }
    }

    private suspend fun <T : Any> poll(query: () -> T?): T {
        while (true) {
            val version = evidence.version.value
            query()?.let { return it }
            prober.requestRound()
            evidence.version.first { it > version }
        }
    }
}
