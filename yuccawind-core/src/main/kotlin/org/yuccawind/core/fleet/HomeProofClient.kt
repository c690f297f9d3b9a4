package org.yuccawind.core.fleet

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.yuccawind.core.load.LoadReport
import org.yuccawind.core.load.ServerLoad
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.core.port.DecisionLog
import org.yuccawind.core.port.InstanceEntry
import org.yuccawind.core.port.PeerClient

/** Timeout of a home's reply: several round trips from the home to a primary in another zone. */
private val REPLY_TIMEOUT = 150.milliseconds

/** Deducted from the requested maximum age, since the proof ages while it is found and sent. */
private val TRANSIT_ALLOWANCE = 50.milliseconds

/** Age of the proof requested with a report, so that it causes no probe. */
private val REPORT_PROOF_AGE = 3_000.milliseconds

/** Time for which a home that did not reply is skipped. */
private val SILENT_HOME_BACKOFF = 1_000.milliseconds

/** Requests proofs of leadership from the homes of a service in this zone. */
class HomeProofClient(
    private val fleet: FleetView,
    private val peers: PeerClient,
    private val time: TimeSource.WithComparableMarks,
    private val log: DecisionLog
) {
    private val silentUntil = HashMap<String, ComparableTimeMark>()

    /**
     * Returns a proof of [service]'s primary from [since] or later, asking the homes in this zone
     * one after the other. The first request carries the [load] that this instance saw.
     */
    suspend fun find(
        service: ServiceName,
        maxConnections: Int,
        since: ComparableTimeMark,
        load: LoadReport? = null
    ): HomeAnswer {
        val homes = fleet.homesOf(service, maxConnections)
            .filter { it.zone == fleet.zone && it.name != fleet.self.name && !isSilent(it) }
        var answer: HomeAnswer = HomeAnswer.NoHome
        for ((index, home) in homes.withIndex()) {
            answer = request(home, service, since, load.takeIf { index == 0 }) ?: continue
            if (answer is HomeAnswer.Proved) return answer
        }
        return answer
    }

    /**
     * Returns the instance to which this home reports the load of a service with these [homes]: the
     * first home of its zone, or, if it is this itself, the first of all. Null if it is this
     * instance.
     */
    fun loadReceiver(homes: List<InstanceEntry>): LoadReceiver? {
        val reachable = homes.filter {
            it == fleet.self || (it.peerAddress.isNotEmpty() && !isSilent(it))
        }
        val ofZone = reachable.firstOrNull { it.zone == fleet.zone }
        if (ofZone != null && ofZone != fleet.self) return LoadReceiver(ofZone, isOfZone = true)
        val first = reachable.firstOrNull()?.takeIf { it != fleet.self } ?: return null
        return LoadReceiver(first, isOfZone = false)
    }

    /**
     * Reports the [load] of [service]'s servers to [home]. Returns the load as that home knows it,
     * or null if it gave no answer.
     */
    suspend fun report(
        home: InstanceEntry,
        service: ServiceName,
        load: LoadReport
    ): Map<BackendServerName, ServerLoad>? {
        val since = time.markNow() - REPORT_PROOF_AGE
        return (request(home, service, since, load) as? HomeAnswer.Proved)?.loads
    }

    private fun isSilent(home: InstanceEntry) =
        silentUntil[home.peerAddress]?.let { !it.hasPassedNow() } == true

    /** Returns the answer of [home], or null if it gave none. */
    private suspend fun request(
        home: InstanceEntry,
        service: ServiceName,
        since: ComparableTimeMark,
        load: LoadReport?
    ): HomeAnswer? {
        if (home.peerAddress.isEmpty()) return null
        val sentAt = time.markNow()
        // Asks for half the age, so that the proof remains usable for later reads.
        val maxAge = (since.elapsedNow() - TRANSIT_ALLOWANCE).coerceAtLeast(Duration.ZERO) / 2
        val message = PeerMessage.ProofWanted(service, maxAge.inWholeMicroseconds, load)
        val reply = peers.call(home.peerAddress, message, REPLY_TIMEOUT).fold({
            silentUntil[home.peerAddress] = time.markNow() + SILENT_HOME_BACKOFF
            log.record(
                "home_silent",
                "service" to service,
                "home" to home.name,
                "reason" to it.detail
            )
            return null
        }, { it })
        return when (reply) {
            is PeerMessage.Proof -> toProved(reply, sentAt)
            is PeerMessage.NoProof -> HomeAnswer.NotProved
            else -> null
        }
    }

    /**
     * Dates the proof relative to the time at which the request was sent, so that neither network
     * delay nor a suspension of the home makes it look newer than it is.
     */
    private fun toProved(proof: PeerMessage.Proof, sentAt: ComparableTimeMark): HomeAnswer.Proved {
        val age = proof.ageUs?.microseconds
        return HomeAnswer.Proved(
            server = proof.server,
            end = proof.end,
            floor = proof.floor,
            since = if (age == null) sentAt else sentAt - age,
            loads = proof.load.mapNotNull { view ->
                view.toLoad(sentAt)?.let { view.server to it }
            }.toMap()
        )
    }
}

/** Answer of the homes of a service to a request for a proof. */
sealed interface HomeAnswer {
    /**
     * [server] was the primary at [since] or later, and its log ended at [end].
     *
     * @property floor end of the log that it had received when it became primary
     * @property loads load of the service's servers, as far as the home knows it
     */
    data class Proved(
        val server: BackendServerName,
        val end: LogPoint,
        val floor: LogPoint,
        val since: ComparableTimeMark,
        val loads: Map<BackendServerName, ServerLoad> = emptyMap()
    ) : HomeAnswer

    /** A home answered that it has no proof and cannot get one. */
    data object NotProved : HomeAnswer

    /** No home is known in this zone, or none answered. */
    data object NoHome : HomeAnswer
}

/**
 * Instance that gathers the load of a service's servers for others.
 *
 * @property home the instance
 * @property isOfZone true if it gathers the reports of the reporter's zone
 */
data class LoadReceiver(val home: InstanceEntry, val isOfZone: Boolean)
