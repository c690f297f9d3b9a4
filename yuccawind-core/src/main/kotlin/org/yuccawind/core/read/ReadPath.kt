package org.yuccawind.core.read

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServerRole
import org.yuccawind.core.pool.PoolError
import org.yuccawind.core.port.Answer
import org.yuccawind.core.port.BackendError
import org.yuccawind.core.port.Command
import org.yuccawind.core.result.Refusal
import org.yuccawind.core.result.ResultCode
import org.yuccawind.core.service.ServiceContext

private const val RETRY_AFTER_MS = 200L
private val MAX_STATUS_AGE = 1_000.milliseconds

/**
 * Serves the reads of one service.
 *
 * Whichever server the policy chooses, an answer is accepted only if its log end includes what the
 * session has seen and its age is within the bound when it is returned.
 */
class ReadPath(private val context: ServiceContext, private val policy: ReadPolicy) {
    private val rotations = AtomicInteger()

    /** Returns the result, or a refusal whose code implies that the read did not run. */
    suspend fun read(request: ReadRequest): Either<Refusal, ReadResult> {
        val attempt = ReadAttempt(request, rotations.getAndIncrement())
        while (request.deadline.hasNotPassedNow()) {
            val version = context.evidence.version.value
            when (val step = tryNextServer(attempt)) {
                is ReadStep.Served -> return step.result.right()

                is ReadStep.Refused -> return step.refusal.left()

                ReadStep.TryNext -> Unit

                ReadStep.Exhausted -> {
                    attempt.reset()
                    context.awaitEvidenceAfter(version, request.deadline)
                }
            }
        }
        return (attempt.lastRefusal ?: stale(request)).left()
    }

    private suspend fun tryNextServer(attempt: ReadAttempt): ReadStep {
        val request = attempt.request
        val bounds = ReadBounds(request, context.evidence)
        val required = context.awaitEvidence(request.deadline) {
            bounds.requiredPoint(maxRoundTrip())
        } ?: return ReadStep.Exhausted
        return when (val choice = policy.choose(candidates(required, attempt), attempt.rotation)) {
            is ReadChoice.Send -> send(choice.candidate, attempt, required)

            is ReadChoice.SendAfterWait -> {
                delay(minOf(choice.wait, -request.deadline.elapsedNow()))
                send(choice.candidate, attempt, required)
            }

            ReadChoice.None ->
                attempt.overloadRefusal?.let { ReadStep.Refused(it) } ?: ReadStep.Exhausted
        }
    }

    private fun candidates(required: LogPoint, attempt: ReadAttempt): List<ReadCandidate> {
        val observations = context.evidence.observations()
        val fresh = observations.filter { it.receivedAt.elapsedNow() < MAX_STATUS_AGE }
        return fresh.ifEmpty { observations }
            .filter { it.server !in attempt.triedServers && !context.leaving.isLeaving(it.server) }
            .mapNotNull { candidate(it.server, it.status.role, required) }
    }

    private fun candidate(
        server: BackendServerName,
        role: ServerRole,
        required: LogPoint
    ): ReadCandidate? = context.pools[server]?.let { pool ->
        val evidence = context.evidence
        val catchUp = evidence.expectedCatchUp(server, required)
        ReadCandidate(server, role, catchUp, evidence.roundTripOf(server), pool.expectedWait)
    }

    private suspend fun send(
        candidate: ReadCandidate,
        attempt: ReadAttempt,
        required: LogPoint
    ): ReadStep {
        val request = attempt.request
        attempt.triedServers += candidate.server
        val pool = context.pools.getValue(candidate.server)
        val answer = pool.execute(Command.Query(request.statement), request.deadline)
        return answer.fold(
            { handleError(it, attempt) },
            { checkAnswer(candidate, it, request, required) }
        )
    }

    private fun handleError(error: PoolError, attempt: ReadAttempt): ReadStep {
        when (error) {
            is PoolError.Refused -> attempt.lastRefusal = error.refusal

            is PoolError.Backend -> (error.error as? BackendError.Failed)?.let {
                return ReadStep.Refused(Refusal(ResultCode.STATEMENT_FAILED, it.detail))
            }
        }
        return ReadStep.TryNext
    }

    private fun checkAnswer(
        candidate: ReadCandidate,
        answer: Answer,
        request: ReadRequest,
        required: LogPoint
    ): ReadStep {
        context.evidence.recordAnswer(candidate.server, answer.end)
        val age = context.evidence.ageOf(answer.end)
        val accepted = ReadBounds(request, context.evidence).accepts(answer.end, age)
        logRoute(candidate, answer, request, accepted)
        if (!accepted) {
            context.evidence.recordLogPoint(required, request.arrivedAt)
            return ReadStep.TryNext
        }
        val result = ReadResult(answer.rows, candidate.server, candidate.role, answer.end, age)
        return ReadStep.Served(result)
    }

    private fun logRoute(
        candidate: ReadCandidate,
        answer: Answer,
        request: ReadRequest,
        accepted: Boolean
    ) = context.log.record(
        "read_route",
        "service" to context.config.name,
        "server" to candidate.server,
        "role" to candidate.role,
        "kind" to request.kind.name,
        "seen" to request.seen,
        "got" to answer.end,
        "accepted" to accepted
    )

    private fun maxRoundTrip(): Duration =
        context.pools.keys.maxOfOrNull { context.evidence.roundTripOf(it) } ?: Duration.ZERO

    private fun stale(request: ReadRequest) = Refusal(
        ResultCode.STALE,
        "kind ${request.kind.name}: no server is young enough and holds ${request.seen}",
        RETRY_AFTER_MS
    )
}
