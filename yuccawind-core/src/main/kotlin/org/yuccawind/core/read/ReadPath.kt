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
private val REPORT_LIFETIME = 1_000.milliseconds

/**
 * Serves the reads of one service.
 *
 * Whoever the policy chooses, an answer is accepted only when its own log end holds what the
 * session has seen and is young enough when it is returned.
 */
class ReadPath(private val context: ServiceContext, private val policy: ReadPolicy) {
    private val turns = AtomicInteger()

    /** Reads, or refuses with a code whose outcome is not run. */
    suspend fun read(request: ReadRequest): Either<Refusal, ReadResult> {
        val attempt = ReadAttempt(request, turns.getAndIncrement())
        while (request.deadline.hasNotPassedNow()) {
            val version = context.evidence.version.value
            when (val step = step(attempt)) {
                is ReadStep.Served -> return step.result.right()

                is ReadStep.Refused -> return step.refusal.left()

                ReadStep.Tried -> Unit

                ReadStep.NobodyLeft -> {
                    attempt.startOver()
                    context.awaitEvidenceAfter(version, request.deadline)
                }
            }
        }
        return (attempt.refusal ?: stale(request)).left()
    }

    private suspend fun step(attempt: ReadAttempt): ReadStep {
        val request = attempt.request
        val bounds = ReadBounds(request, context.evidence)
        val needed = context.awaitEvidence(request.deadline) { bounds.needed(worstTrip()) }
            ?: return ReadStep.NobodyLeft
        return when (val choice = policy.choose(candidates(needed, attempt), attempt.turn)) {
            is ReadChoice.Ask -> ask(choice.candidate, attempt, needed)

            is ReadChoice.WaitThenAsk -> {
                delay(minOf(choice.wait, -request.deadline.elapsedNow()))
                ask(choice.candidate, attempt, needed)
            }

            ReadChoice.None ->
                attempt.overload?.let { ReadStep.Refused(it) } ?: ReadStep.NobodyLeft
        }
    }

    private fun candidates(needed: LogPoint, attempt: ReadAttempt): List<ReadCandidate> {
        val seen = context.evidence.observations()
        val fresh = seen.filter { it.receivedAt.elapsedNow() < REPORT_LIFETIME }
        return fresh.ifEmpty { seen }
            .filter { it.server !in attempt.tried && !context.leaving.isLeaving(it.server) }
            .mapNotNull { candidate(it.server, it.status.role, needed) }
    }

    private fun candidate(
        server: BackendServerName,
        role: ServerRole,
        needed: LogPoint
    ): ReadCandidate? = context.pools[server]?.let { pool ->
        val book = context.evidence
        val catchUp = book.expectedCatchUp(server, needed)
        ReadCandidate(server, role, catchUp, book.roundTripOf(server), pool.expectedWait)
    }

    private suspend fun ask(
        candidate: ReadCandidate,
        attempt: ReadAttempt,
        needed: LogPoint
    ): ReadStep {
        val request = attempt.request
        attempt.tried += candidate.server
        val pool = context.pools.getValue(candidate.server)
        val answer = pool.execute(Command.Query(request.statement), request.deadline)
        return answer.fold({ failed(it, attempt) }, { judge(candidate, it, request, needed) })
    }

    private fun failed(error: PoolError, attempt: ReadAttempt): ReadStep {
        when (error) {
            is PoolError.Refused -> attempt.refusal = error.refusal

            is PoolError.Backend -> (error.error as? BackendError.Failed)?.let {
                return ReadStep.Refused(Refusal(ResultCode.STATEMENT_FAILED, it.detail))
            }
        }
        return ReadStep.Tried
    }

    private fun judge(
        candidate: ReadCandidate,
        answer: Answer,
        request: ReadRequest,
        needed: LogPoint
    ): ReadStep {
        context.evidence.recordAnswer(candidate.server, answer.end)
        val age = context.evidence.ageOf(answer.end)
        val accepted = ReadBounds(request, context.evidence).accepts(answer.end, age)
        record(candidate, answer, request, accepted)
        if (!accepted) {
            context.evidence.recordLogPoint(needed, request.arrivedAt)
            return ReadStep.Tried
        }
        val result = ReadResult(answer.rows, candidate.server, candidate.role, answer.end, age)
        return ReadStep.Served(result)
    }

    private fun record(
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

    private fun worstTrip(): Duration =
        context.pools.keys.maxOfOrNull { context.evidence.roundTripOf(it) } ?: Duration.ZERO

    private fun stale(request: ReadRequest) = Refusal(
        ResultCode.STALE,
        "kind ${request.kind.name}: no server is young enough and holds ${request.seen}",
        RETRY_AFTER_MS
    )
}
