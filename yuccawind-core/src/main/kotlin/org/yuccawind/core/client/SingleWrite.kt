package org.yuccawind.core.client

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
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

/** Pause before a write that a full server refused is offered again. */
private val BUSY_PAUSE = 20.milliseconds

/** Time for which a connection counts as working after its last answer. */
private val UNCHECKED_LIMIT = 300.milliseconds

/** Time for an answer to a check, which takes no statement slot: many round trips. */
private val CHECK_LIMIT = 250.milliseconds

/**
 * Runs writes that stand alone, on the primary. Once sent, a write is sent again only when the
 * server has answered that it did not run.
 */
internal class SingleWrite(private val context: SessionContext, private val values: SessionValues) {
    /** Runs [work] under [route]. */
    suspend fun run(route: Route, work: Work, trace: StatementTrace): StatementAnswer {
        val group = context.groups(route.service)
            ?: return refused(StatementCode.BUSY, "service ${route.service} is gone")
        val deadline = context.time.markNow() + route.statementTimeout
        val urgency = LinkUrgency(context.time.markNow() + route.targetLatency, route.priority)
        return Attempts(group, work, trace, deadline, urgency).run()
    }

    private inner class Attempts(
        private val group: ServerGroup,
        private val work: Work,
        private val trace: StatementTrace,
        private val deadline: ComparableTimeMark,
        private val urgency: LinkUrgency
    ) {
        private var refusal = StatementCode.BUSY to "no primary is known"

        suspend fun run(): StatementAnswer {
            while (remaining() > Duration.ZERO) {
                val server = group.awaitLeader(remaining()) ?: break
                trace.server = server.name
                trace.attempts++
                val startedAt = context.time.markNow()
                val link = server.acquire(remaining(), urgency)?.getOrNull()
                trace.linkWait += startedAt.elapsedNow()
                if (link == null) {
                    refusal = StatementCode.BUSY to "no connection to ${server.name}"
                    delay(BUSY_PAUSE)
                    continue
                }
                val answer = try {
                    ask(server, link)
                } finally {
                    server.release(link)
                }
                if (answer != null) return answer
                if (refusal.first == StatementCode.BUSY) delay(BUSY_PAUSE)
            }
            return refused(refusal.first, refusal.second)
        }

        private fun remaining() = -deadline.elapsedNow()

        private suspend fun ask(server: GroupServer, link: PooledLink): StatementAnswer? {
            if (!answers(server, link)) return null
            val sentAt = context.time.markNow()
            val commands = link.imprint(values.image) + work.commandsFor(link)
            return when (val result = server.call(link, commands, remaining())) {
                is CallResult.Answered -> answerOf(server, result, sentAt)

                is CallResult.Lost ->
                    if (result.wasSent) unknown("connection lost: ${result.detail}") else null

                CallResult.TimedOut -> unknown("no answer in time")
            }
        }

        /** A write on a connection that went silent unnoticed would be of unknown outcome. */
        private suspend fun answers(server: GroupServer, link: PooledLink): Boolean {
            if (link.answeredAt.elapsedNow() < UNCHECKED_LIMIT) return true
            val limit = minOf(CHECK_LIMIT, remaining())
            return server.call(link, listOf(LinkCommand.Rollback), limit) is CallResult.Answered
        }

        private fun answerOf(
            server: GroupServer,
            result: CallResult.Answered,
            sentAt: ComparableTimeMark
        ): StatementAnswer? {
            val reply = result.last
            val position = reply.position
            val code = reply.refusal?.code
            if (reply.isDone && position != null) {
                group.certify(server, position, sentAt)
                values.noteWrite(position)
            }
            if (code == StatementCode.READ_ONLY) group.recordNotLeading(server)
            if (code == null || !isRefusalBeforeRun(code)) {
                return StatementAnswer(reply.rows, reply.result, SessionState.IDLE, position)
            }
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
