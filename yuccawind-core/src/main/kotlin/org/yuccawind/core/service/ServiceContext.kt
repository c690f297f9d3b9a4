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
 * What the decisions about one service share.
 *
 * @property config configuration in force
 * @property zone availability zone of this instance
 * @property servers the backend servers by name
 * @property pools connections to each of them
 * @property book evidence about the group
 * @property prober gathers that evidence
 * @property time the clock
 * @property log receives a line for each decision
 * @property gate holds new writes back during a handover
 * @property leaving which servers are to get no new work
 */
class ServiceContext(
    val config: ServiceConfig,
    val zone: AvailabilityZone,
    val servers: Map<BackendServerName, BackendServer>,
    val pools: Map<BackendServerName, ConnectionPool>,
    val book: EvidenceStore,
    val prober: EvidenceProber,
    val time: TimeSource.WithComparableMarks,
    val log: DecisionLog,
    val gate: WriteGate,
    val leaving: LeavingPolicy
) {
    /** Looks into the evidence until [look] finds something; null once [deadline] has passed. */
    suspend fun <T : Any> awaitEvidence(deadline: ComparableTimeMark, look: () -> T?): T? =
        look() ?: withTimeoutOrNull(-deadline.elapsedNow()) { poll(look) }

    /** Asks for evidence and waits until some arrived after [version], or [deadline] passes. */
    suspend fun awaitNewer(version: Long, deadline: ComparableTimeMark) {
        prober.requestRound()
        withTimeoutOrNull(-deadline.elapsedNow()) { book.version.first { it > version } }
    }

    private suspend fun <T : Any> poll(look: () -> T?): T {
        while (true) {
            val version = book.version.value
            look()?.let { return it }
            prober.requestRound()
            book.version.first { it > version }
        }
    }
}
