package org.yuccawind.core.group

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.fleet.HomeAnswer
import org.yuccawind.core.model.LogPoint

/** Delay before the next attempt to find a proof after a failed one. */
private val SEARCH_RETRY_DELAY = 30.milliseconds

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
     * Requests a proof if none is cached; returns null if there is none within [timeout] or the
     * group is silent.
     */
    suspend fun pointSince(since: ComparableTimeMark, timeout: Duration): LogPoint? {
        evidence.certificateSince(since)?.end?.let { return it }
        if (group.isSilent) return null
        return withTimeoutOrNull(timeout) {
            var point: LogPoint? = null
            while (point == null) {
                if (!find(since)) delay(SEARCH_RETRY_DELAY)
                point = evidence.certificateSince(since)?.end
            }
            point
        }
    }

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
        loadExchange.load.accept(proof.loads)
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
     * Returns the primary, searching for it if it is not known. Returns null if the group is silent
     * or none is found within [timeout].
     */
    suspend fun awaitLeader(timeout: Duration): GroupServer? {
        leaderWithoutProbe()?.let { return it }
        if (group.isSilent) return null
        return withTimeoutOrNull(timeout) {
            val since = context.time.markNow()
            while (!find(since - LeadershipEvidence.MAX_PROOF_AGE)) delay(SEARCH_RETRY_DELAY)
            group.leader
        }
    }

    /** Returns the primary if the evidence held is sufficient, or null. */
    private fun leaderWithoutProbe(): GroupServer? =
        group.leader?.takeIf { it.failingSince == null && (group.isHome || evidence.isProofRecent) }
}
