package org.yuccawind.core.fleet

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.core.port.DecisionLog
import org.yuccawind.core.port.InstanceEntry
import org.yuccawind.core.port.PeerClient

/** Time for a home's reply: its own question to a primary in another zone, several times over. */
private val REPLY_LIMIT = 150.milliseconds

/** Taken off the age asked for, since the proof grows older on the way and while it is sought. */
private val WAY_TIME = 50.milliseconds

/** Time for which a home that gave no reply is left out. */
private val SILENT_HOME_PAUSE = 1_000.milliseconds

/** Asks the homes of a service in this zone what is proved about its primary. */
class HomeProofs(
    private val fleet: FleetView,
    private val peers: PeerClient,
    private val time: TimeSource.WithComparableMarks,
    private val log: DecisionLog
) {
    private val silentUntil = HashMap<String, ComparableTimeMark>()

    /**
     * A proof of [service]'s primary that holds since [since] or later, from one of the homes in
     * this zone.
     */
    suspend fun find(
        service: ServiceName,
        maxConnections: Int,
        since: ComparableTimeMark
    ): HomeAnswer {
        val homes = fleet.homesOf(service, maxConnections)
            .filter { it.zone == fleet.zone && it.name != fleet.self.name && !isSilent(it) }
        var answer: HomeAnswer = HomeAnswer.NoHome
        for (home in homes) {
            answer = ask(home, service, since) ?: continue
            if (answer is HomeAnswer.Proved) return answer
        }
        return answer
    }

    private fun isSilent(home: InstanceEntry) =
        silentUntil[home.peerAddress]?.let { !it.hasPassedNow() } == true

    /** The answer of [home]; null when there was none. */
    private suspend fun ask(
        home: InstanceEntry,
        service: ServiceName,
        since: ComparableTimeMark
    ): HomeAnswer? {
        if (home.peerAddress.isEmpty()) return null
        val sentAt = time.markNow()
        // Half of the age is left for other reads.
        val maxAge = (since.elapsedNow() - WAY_TIME).coerceAtLeast(Duration.ZERO) / 2
        val question = PeerMessage.ProofWanted(service, maxAge.inWholeMicroseconds)
        val reply = peers.call(home.peerAddress, question, REPLY_LIMIT).fold({
            silentUntil[home.peerAddress] = time.markNow() + SILENT_HOME_PAUSE
            log.record(
                "home_silent",
                "service" to service,
                "home" to home.name,
                "reason" to it.detail
            )
            return null
        }, { it })
        return when (reply) {
            is PeerMessage.Proof -> proved(reply, sentAt)
            is PeerMessage.NoProof -> HomeAnswer.NotProved
            else -> null
        }
    }

    /**
     * Dates the proof from before its question left here: neither the way nor a suspension of the
     * home makes it look younger than it is.
     */
    private fun proved(proof: PeerMessage.Proof, sentAt: ComparableTimeMark): HomeAnswer.Proved {
        val age = proof.ageUs?.microseconds
        return HomeAnswer.Proved(
            server = proof.server,
            end = proof.end,
            floor = proof.floor,
            since = if (age == null) sentAt else sentAt - age
        )
    }
}

/** What the homes of a service said about its primary. */
sealed interface HomeAnswer {
    /**
     * [server] led at [since] or later and its log ended at [end].
     *
     * @property floor end of what it had received when it took the lead
     */
    data class Proved(
        val server: BackendServerName,
        val end: LogPoint,
        val floor: LogPoint,
        val since: ComparableTimeMark
    ) : HomeAnswer

    /** A home answered, and the primary does not answer it. */
    data object NotProved : HomeAnswer

    /** No home is known in this zone, or none answered. */
    data object NoHome : HomeAnswer
}
