package org.yuccawind.core.evidence

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.updateAndGet
import kotlinx.coroutines.launch
import kotlinx.coroutines.supervisorScope
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.port.BackendServer

private val DEFAULT_IDLE_PERIOD = 200.milliseconds
private val MIN_PERIOD = 5.milliseconds
private val ROUND_TIMEOUT = 500.milliseconds

/**
 * Probes the status of the servers of a database group in rounds and records the results.
 *
 * Without requests a round starts every [idlePeriod]. A request starts the next round early, at
 * least 5 ms after the previous one; concurrent requests share a round.
 *
 * @property servers members of the group
 * @property store receives the observations and certificates
 * @property time the clock
 * @property idlePeriod time between rounds without requests; 200 ms by default
 */
class EvidenceProber(
    private val servers: List<BackendServer>,
    private val store: EvidenceStore,
    private val time: TimeSource.WithComparableMarks,
    private val idlePeriod: Duration = DEFAULT_IDLE_PERIOD
) {
    private val roundRequests = Channel<Unit>(Channel.CONFLATED)

    /** Requests a round that starts after this call. */
    fun requestRound() {
        roundRequests.trySend(Unit)
    }

    /** Runs probe rounds until cancelled. */
    suspend fun run(): Unit = supervisorScope {
        while (true) {
            val startedAt = time.markNow()
            runRound(this)
            val requested =
                withTimeoutOrNull(idlePeriod - startedAt.elapsedNow()) { roundRequests.receive() }
            if (requested != null) throttle(startedAt.elapsedNow())
        }
    }

    private suspend fun throttle(elapsed: Duration) {
        withTimeoutOrNull(MIN_PERIOD - elapsed) { Channel<Unit>().receive() }
    }

    private suspend fun runRound(scope: CoroutineScope) {
        val startedAt = time.markNow()
        val state = MutableStateFlow(RoundState(ProbeRound(startedAt, emptyMap()), 0))
        for (server in servers) scope.launch { probe(server, state) }
        withTimeoutOrNull(ROUND_TIMEOUT) {
            state.first {
                it.finished == servers.size || it.round.certificate(store.majority) != null
            }
        }
    }

    private suspend fun probe(server: BackendServer, state: MutableStateFlow<RoundState>) {
        val sentAt = time.markNow()
        val status = server.status().getOrNull()
        if (status != null) store.observe(Observation(server.name, status, sentAt, time.markNow()))
        val updated = state.updateAndGet { old ->
            val answers = if (status == null) {
                old.round.answers
            } else {
                old.round.answers + (server.name to status)
            }
            RoundState(old.round.copy(answers = answers), old.finished + 1)
        }
        updated.round.certificate(store.majority)?.let(store::addCertificate)
    }

    private data class RoundState(val round: ProbeRound, val finished: Int)
}
