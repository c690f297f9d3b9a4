package org.yuccawind.core.client

import arrow.core.raise.Raise
import arrow.core.raise.either
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.yuccawind.core.admission.Admission
import org.yuccawind.core.admission.ServerAdmission
import org.yuccawind.core.admission.StatementDemand
import org.yuccawind.core.group.GroupServer
import org.yuccawind.core.group.ServerGroup
import org.yuccawind.core.link.LinkCommand
import org.yuccawind.core.link.LinkUrgency
import org.yuccawind.core.link.PooledLink
import org.yuccawind.core.route.Route
import org.yuccawind.core.statement.SessionState
import org.yuccawind.core.statement.StatementAnswer
import org.yuccawind.core.statement.StatementCode
import org.yuccawind.core.statement.StatementResult
import org.yuccawind.core.workspace.Caller

/** A connection whose last reply is older than this is checked before a write is sent on it. */
private val MAX_UNCHECKED_AGE = 300.milliseconds

/**
 * Time limit for a connection check. A check occupies no statement slot on the server, so this
 * covers many round trips.
 */
private val HEALTH_CHECK_TIMEOUT = 250.milliseconds

/**
 * Runs writes outside a transaction on the primary. A write that has been sent is retried only
 * when the server has replied that it did not run.
 */
internal class SingleWrite(
    private val context: SessionContext,
    private val sessionState: ClientSessionState
) {
    /** Runs [statement] on the primary, retrying until the route's statement limit. */
    suspend fun run(
        route: Route,
        caller: Caller,
        statement: BackendStatement,
        trace: StatementTrace
    ): StatementAnswer {
        val group = context.groups(route.service)
            ?: return refused(StatementCode.BUSY, "the service is gone")
        val now = context.time.markNow()
        val demand =
            StatementDemand(now, now + route.statementTimeout, route.targetLatency, route.priority)
        val urgency = route.urgency(now, caller)
        return Attempts(group, statement, trace, demand, urgency).run()
    }

    private inner class Attempts(
        private val group: ServerGroup,
        private val statement: BackendStatement,
        private val trace: StatementTrace,
        private val demand: StatementDemand,
        private val urgency: LinkUrgency
    ) {
        private var refusal = StatementCode.BUSY to "no primary is known"
        private val pause = RepeatPause(group.repeats, demand)

        suspend fun run(): StatementAnswer = either { runUntilAnswered() }.fold(::refuse) { it }

        private suspend fun Raise<Admission.Refuse>.runUntilAnswered(): StatementAnswer {
            while (true) {
                val server = group.awaitLeader(demand).bind()
                ServerAdmission.check(listOf(server.roomFor(urgency)), demand).bind()
                attempt(server)?.let { return it }
                if (refusal.first == StatementCode.BUSY) pause.await().bind()
            }
        }

        private suspend fun attempt(server: GroupServer): StatementAnswer? {
            trace.server = server.name
            trace.attempts++
            val startedAt = context.time.markNow()
            // A write that is sent too late would end with an unknown outcome.
            val link = server.acquire(remaining() - server.answerTime, urgency)?.getOrNull()
            trace.linkWait += startedAt.elapsedNow()
            if (link == null) {
                refusal = StatementCode.BUSY to "no connection to ${server.name}"
                return null
            }
            try {
                return send(server, link)
            } finally {
                server.release(link)
            }
        }

        private fun refuse(decision: Admission.Refuse): StatementAnswer {
            trace.refusal = decision.reason
            return refused(refusal.first, decision.describe(refusal.second))
        }

        private fun remaining() = demand.timeLeft

        private suspend fun send(server: GroupServer, link: PooledLink): StatementAnswer? {
            if (!isResponsive(server, link) || remaining() <= Duration.ZERO) return null
            val sentAt = context.time.markNow()
            val commands =
                link.commandsToApply(sessionState.variables) + statement.commandsFor(link)
            return when (val result = server.call(link, commands, remaining())) {
                is CallResult.Answered -> toAnswer(server, result, sentAt)

                is CallResult.Lost ->
                    if (result.wasSent) unknown("connection lost: ${result.detail}") else null

                CallResult.TimedOut -> unknown("no answer in time")
            }
        }

        /**
         * Checks a connection that has been idle: a write sent on one that has failed unnoticed
         * would end with an unknown outcome.
         */
        private suspend fun isResponsive(server: GroupServer, link: PooledLink): Boolean {
            if (link.answeredAt.elapsedNow() < MAX_UNCHECKED_AGE) return true
            val limit = minOf(HEALTH_CHECK_TIMEOUT, remaining())
            return server.call(link, listOf(LinkCommand.Rollback), limit) is CallResult.Answered
        }

        private fun toAnswer(
            server: GroupServer,
            result: CallResult.Answered,
            sentAt: ComparableTimeMark
        ): StatementAnswer? {
            val reply = result.last
            val position = reply.position
            val code = reply.refusal?.code
            if (reply.isDone && position != null) {
                group.certify(server, position, sentAt)
                sessionState.recordWrite(position)
                group.repeats.recordSuccess()
            }
            if (code == StatementCode.READ_ONLY) group.recordNotLeading(server)
            if (code == null || !isRefusalBeforeRun(code)) {
                return StatementAnswer(reply.rows, reply.result, SessionState.IDLE, position)
            }
            if (code == StatementCode.BUSY) pause.isServerBusy = true
            refusal = code to "${server.name} refused with $code"
            return null
        }
    }

    private fun isRefusalBeforeRun(code: StatementCode) =
        code == StatementCode.BUSY || code == StatementCode.READ_ONLY ||
            code == StatementCode.NO_SUCH_STATEMENT

    private fun unknown(detail: String) = refused(StatementCode.OUTCOME_UNKNOWN, detail)

    private fun refused(code: StatementCode, detail: String) =
        StatementAnswer(emptyList(), StatementResult.Refused(code, detail), SessionState.IDLE)
}
