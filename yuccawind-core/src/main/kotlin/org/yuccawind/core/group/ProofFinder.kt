package org.yuccawind.core.group

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.admission.Admission
import org.yuccawind.core.admission.PrimaryAdmission
import org.yuccawind.core.admission.StatementDemand
import org.yuccawind.core.fleet.HomeAnswer
import org.yuccawind.core.model.LogPoint

/** Delay before the next attempt to find a proof after a failed one. */
private val SEARCH_RETRY_DELAY = 30.milliseconds

/** Interval at which a statement that waits for a proof is decided again. */
private val DECISION_PERIOD = 200.milliseconds

/**
 * Finds proofs of leadership for a group: cached ones, those of the homes, and those of the servers
 * themselves. Confined to the event loop of its context.
 */
internal class ProofFinder(
    private val group: ServerGroup,
    private val context: GroupContext,
    private val evidence: LeadershipEvidence,
    private val probe: LeaderProbe,
    private val loadExchange: LoadExchange
) {
    private var homeQuery: Deferred<HomeAnswer>? = null

    /**
     * Returns the smallest log point known to hold every write acknowledged before [since].
     * Requests a proof if none is cached, and waits for it as [PrimaryAdmission] allows.
     */
    suspend fun pointSince(
        since: ComparableTimeMark,
        demand: StatementDemand
    ): Either<Admission.Refuse, LogPoint> = await(since, demand) {
        evidence.certificateSince(since)?.end
    }

    /**
     * Returns the result of [held] as soon as it is not null, searching for proofs from [since] or
     * later for as long as [PrimaryAdmission] lets the statement wait. [held] is told whether the
     * last search succeeded.
     */
    private suspend fun <T : Any> await(
        since: ComparableTimeMark,
        demand: StatementDemand,
        held: (Boolean) -> T?
    ): Either<Admission.Refuse, T> {
        var isFound = false
        while (true) {
            held(isFound)?.let { return it.right() }
            isFound = when (val decision = PrimaryAdmission.decide(group.belief, demand)) {
                is Admission.Refuse -> return decision.left()
                is Admission.Wait -> search(since, minOf(decision.limit, DECISION_PERIOD))
                Admission.Take -> search(since, DECISION_PERIOD)
            }
        }
    }

    /**
     * Searches for a proof from [since] or later and returns true if it is found within [limit].
     * The search goes on after that, so that a failure is recorded although the statement has been
     * refused.
     */
    private suspend fun search(since: ComparableTimeMark, limit: Duration): Boolean =
        withTimeoutOrNull(limit) {
            val isFound = context.scope.async { find(since) }.await()
            if (!isFound) delay(SEARCH_RETRY_DELAY)
            isFound
        } ?: false

    /**
     * Returns a proof from [since] or later for another instance, probing the servers if needed but
     * without asking other instances; null if there is none within [timeout].
     */
    suspend fun localProofSince(since: ComparableTimeMark, timeout: Duration): LeadershipProof? {
        evidence.proofSince(since)?.let { return it }
        return withTimeoutOrNull(timeout) {
            var proof: LeadershipProof? = null
            while (proof == null) {
                if (!probe.run()) delay(SEARCH_RETRY_DELAY)
                proof = evidence.proofSince(since)
            }
            proof
        }
    }

    /**
     * Tries once to get a proof from [since] or later and returns true on success. An instance that
     * is not a home asks the homes first.
     */
    suspend fun find(since: ComparableTimeMark): Boolean {
        val startedAt = context.time.markNow()
        val answer = if (group.isHome) HomeAnswer.NoHome else requestFromHomes(since)
        val isFound = when (answer) {
            is HomeAnswer.Proved -> accept(answer)
            HomeAnswer.NoHome -> probe.run()
            HomeAnswer.NotProved -> probe.runOnExpected()
        }
        if (!isFound) evidence.recordMissingProof(startedAt)
        return isFound
    }

    /** Accepts [proof] unless its server is not registered here yet. */
    private fun accept(proof: HomeAnswer.Proved): Boolean {
        loadExchange.accept(proof.loads)
        val server = group.serverNamed(proof.server) ?: return false
        return evidence.accept(server, proof)
    }

    /** Asks the homes for a proof, or joins a request in progress. */
    private suspend fun requestFromHomes(since: ComparableTimeMark): HomeAnswer {
        val running = homeQuery?.takeIf { it.isActive } ?: context.scope.async {
            val report = loadExchange.takeReport()
            context.homes.find(group.service, group.settings.maxConnections, since, report)
        }.also { homeQuery = it }
        return running.await()
    }

    /**
     * Returns the primary, searching for it as long as [PrimaryAdmission] allows if it is not
     * known.
     */
    suspend fun awaitLeader(demand: StatementDemand): Either<Admission.Refuse, GroupServer> {
        leaderWithoutProbe()?.let { return it.right() }
        val since = context.time.markNow() - LeadershipEvidence.MAX_PROOF_AGE
        return await(since, demand) { isFound -> if (isFound) group.leader else null }
    }

    /** Returns the primary if the evidence held is sufficient, or null. */
    private fun leaderWithoutProbe(): GroupServer? =
        group.leader?.takeIf { it.failingSince == null && (group.isHome || evidence.isProofRecent) }
}
