package org.yuccawind.core.client

import arrow.core.raise.Raise
import arrow.core.raise.either
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.admission.Admission
import org.yuccawind.core.admission.ServerAdmission
import org.yuccawind.core.admission.StatementDemand
import org.yuccawind.core.group.GroupServer
import org.yuccawind.core.group.ReadRequirement
import org.yuccawind.core.group.ServerGroup
import org.yuccawind.core.link.LinkCommand
import org.yuccawind.core.link.PooledLink
import org.yuccawind.core.route.Route
import org.yuccawind.core.statement.SessionState
import org.yuccawind.core.statement.StatementAnswer
import org.yuccawind.core.statement.StatementCode
import org.yuccawind.core.statement.StatementResult
import org.yuccawind.core.workspace.Caller

/** Interval between checks whether a server that has not answered yet is still responsive. */
private val SILENCE_CHECK_PERIOD = 100.milliseconds

/**
 * Time without a reply from a server after which a read is sent to another one. It exceeds the
 * time for which long statements can occupy all slots of a healthy server.
 */
private val SILENCE_TIMEOUT = 300.milliseconds

/** Maximum wait for a connection to one server when other servers are eligible. */
private val ACQUIRE_TIMEOUT = 100.milliseconds

/**
 * Runs reads outside a transaction on any server whose log includes the log point that the route's
 * freshness requires.
 */
internal class SingleRead(
    private val context: SessionContext,
    private val sessionState: ClientSessionState
) {
    /** Runs [statement], trying the eligible servers until the route's statement limit. */
    suspend fun run(
        route: Route,
        caller: Caller,
        statement: BackendStatement,
        trace: StatementTrace
    ): StatementAnswer {
        val group = context.groups(route.service) ?: return busy("the service is gone")
        val now = context.time.markNow()
        val demand =
            StatementDemand(now, now + route.statementTimeout, route.targetLatency, route.priority)
        return Attempts(group, route, caller, statement, trace, demand).run()
    }

    private inner class Attempts(
        private val group: ServerGroup,
        private val route: Route,
        caller: Caller,
        private val statement: BackendStatement,
        private val trace: StatementTrace,
        private val demand: StatementDemand
    ) {
        private val urgency = route.urgency(demand.arrivedAt, caller)
        private val refusedBy = HashSet<GroupServer>()
        private val pause = RepeatPause(group.repeats, demand)
        private var refusal = "no evidence of what the read must see"

        suspend fun run(): StatementAnswer = either { runUntilAnswered() }.fold(::refuse) { it }

        private suspend fun Raise<Admission.Refuse>.runUntilAnswered(): StatementAnswer {
            while (true) {
                val required = ReadRequirements.find(group, route, sessionState, demand).bind()
                val servers = group.readers(required.point)
                val server = servers.firstOrNull { it !in refusedBy }
                if (server == null) {
                    refusedBy.clear()
                    pause.await().bind()
                    continue
                }
                ServerAdmission.check(servers.map(::roomAt), demand).bind()
                val latest = remaining() - server.answerTime
                val timeout = if (servers.size == 1) latest else minOf(latest, ACQUIRE_TIMEOUT)
                attemptUntilSilent(server, required, timeout)?.let { return it }
                refusedBy += server
            }
        }

        private fun roomAt(server: GroupServer) = server.roomFor(urgency)

        private fun refuse(decision: Admission.Refuse): StatementAnswer {
            trace.refusal = decision.reason
            return busy(decision.describe(refusal))
        }

        private fun remaining() = demand.timeLeft

        /**
         * Runs the read on [server]; returns null when the server refuses or stops responding. In
         * the latter case the attempt continues in the background, so that a statement in progress
         * is not interrupted, and its answer is discarded.
         */
        private suspend fun attemptUntilSilent(
            server: GroupServer,
            required: ReadRequirement,
            timeout: Duration
        ): StatementAnswer? {
            // Undispatched, so that the next read of a burst already counts this one as in flight.
            val attempt = context.scope.async(start = CoroutineStart.UNDISPATCHED) {
                attempt(server, required, timeout)
            }
            while (true) {
                val outcome = withTimeoutOrNull(SILENCE_CHECK_PERIOD) { Outcome(attempt.await()) }
                if (outcome != null) return outcome.answer
                if (server.isSilentFor(SILENCE_TIMEOUT)) {
                    refusal = "${server.name} is silent"
                    return null
                }
            }
        }

        private suspend fun attempt(
            server: GroupServer,
            required: ReadRequirement,
            timeout: Duration
        ): StatementAnswer? {
            trace.server = server.name
            trace.requiredPoint = required.point
            trace.attempts++
            val startedAt = context.time.markNow()
            val link = server.acquire(timeout, urgency)?.getOrNull()
            trace.linkWait += startedAt.elapsedNow()
            if (link == null) {
                refusal = "no connection to ${server.name}"
                return null
            }
            try {
                return if (isInTerm(server, link, required)) send(server, link, required) else null
            } finally {
                server.release(link)
            }
        }

        /**
         * Returns true when the server is known to be in the term of [required] or a later one. If
         * the last reply does not show this, a `ROLLBACK` fetches the current position.
         */
        private suspend fun isInTerm(
            server: GroupServer,
            link: PooledLink,
            required: ReadRequirement
        ): Boolean {
            if (required.isCoveredBy(link.term)) return true
            server.call(link, listOf(LinkCommand.Rollback), minOf(ACQUIRE_TIMEOUT, remaining()))
            refusal = "${server.name} has not followed term ${required.point.term}"
            return required.isCoveredBy(link.term)
        }

        private suspend fun send(
            server: GroupServer,
            link: PooledLink,
            required: ReadRequirement
        ): StatementAnswer? {
            val commands = link.commandsToApply(sessionState.variables) +
                statement.commandsFor(link, required.point)
            return when (val result = server.call(link, commands, remaining())) {
                is CallResult.Answered -> toAnswer(server, result)

                is CallResult.Lost -> {
                    refusal = "connection to ${server.name} lost"
                    null
                }

                CallResult.TimedOut -> refused(StatementCode.TIMEOUT, "no answer in time")
            }
        }

        private fun toAnswer(server: GroupServer, result: CallResult.Answered): StatementAnswer? {
            val reply = result.last
            val code = reply.refusal?.code
            if (code != null && isRefusalBeforeRun(code)) {
                refusal = "${server.name} refused with $code"
                pause.isServerBusy = true
                return null
            }
            if (reply.isDone) group.repeats.recordSuccess()
            return StatementAnswer(reply.rows, reply.result, SessionState.IDLE, reply.position)
        }
    }

    private class Outcome(val answer: StatementAnswer?)

    private fun isRefusalBeforeRun(code: StatementCode) = when (code) {
        StatementCode.BUSY,
        StatementCode.LAGGING,
        StatementCode.NO_SUCH_STATEMENT,
        StatementCode.READ_ONLY,
        StatementCode.WRONG_SERVER,
        StatementCode.TOO_MANY_CONNECTIONS
        -> true

        StatementCode.ABORTED,
        StatementCode.FAILED,
        StatementCode.MALFORMED,
        StatementCode.NO_SUCH_DATABASE,
        StatementCode.OTHER,
        StatementCode.OUTCOME_UNKNOWN,
        StatementCode.RATE_LIMITED,
        StatementCode.TIMEOUT,
        StatementCode.TOO_LARGE,
        StatementCode.UNKNOWN_KEY
        -> false
    }

    private fun busy(detail: String) = refused(StatementCode.BUSY, detail)

    private fun refused(code: StatementCode, detail: String) =
        StatementAnswer(emptyList(), StatementResult.Refused(code, detail), SessionState.IDLE)
}
