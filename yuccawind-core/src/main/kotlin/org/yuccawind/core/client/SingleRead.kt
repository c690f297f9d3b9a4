package org.yuccawind.core.client

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.group.GroupServer
import org.yuccawind.core.group.ReadRequirement
import org.yuccawind.core.group.ServerGroup
import org.yuccawind.core.link.LinkCommand
import org.yuccawind.core.link.LinkUrgency
import org.yuccawind.core.link.PooledLink
import org.yuccawind.core.route.Route
import org.yuccawind.core.statement.SessionState
import org.yuccawind.core.statement.StatementAnswer
import org.yuccawind.core.statement.StatementCode
import org.yuccawind.core.statement.StatementResult

/** Pause before servers that refused a read are asked again. */
private val RETRY_PAUSE = 15.milliseconds

/** Pause between two looks at a server that has not answered yet. */
private val SILENCE_CHECK = 100.milliseconds

/**
 * Time without any answer of a server after which a read is sent elsewhere. It exceeds the time
 * that a healthy server's slots are all held by long statements.
 */
private val SILENCE_LIMIT = 300.milliseconds

/** Greatest wait for a connection to one server while others may have one. */
private val LINK_PATIENCE = 100.milliseconds

/** Runs reads that stand alone, on any server whose log is proved to hold what they must see. */
internal class SingleRead(private val context: SessionContext, private val values: SessionValues) {
    /** Runs [work] under [route]. */
    suspend fun run(route: Route, work: Work, trace: StatementTrace): StatementAnswer {
        val group = context.groups(route.service) ?: return busy("service ${route.service} is gone")
        val arrivedAt = context.time.markNow()
        return Attempts(group, route, work, trace, arrivedAt).run()
    }

    private inner class Attempts(
        private val group: ServerGroup,
        private val route: Route,
        private val work: Work,
        private val trace: StatementTrace,
        private val arrivedAt: ComparableTimeMark
    ) {
        private val deadline = arrivedAt + route.statementTimeout
        private val urgency = LinkUrgency(arrivedAt + route.targetLatency, route.priority)
        private val refusedBy = HashSet<GroupServer>()
        private var refusal = "no evidence of what the read must see"

        suspend fun run(): StatementAnswer {
            while (remaining() > Duration.ZERO) {
                val need = ReadNeeds.find(group, route, values, arrivedAt, remaining()) ?: break
                val servers = group.readers(need.point)
                val server = servers.firstOrNull { it !in refusedBy }
                if (server == null) {
                    refusedBy.clear()
                    delay(RETRY_PAUSE)
                    continue
                }
                val patience = if (servers.size == 1) remaining() else LINK_PATIENCE
                patiently(server, need, patience)?.let { return it }
                refusedBy += server
            }
            return busy(refusal)
        }

        private fun remaining() = -deadline.elapsedNow()

        /**
         * Asks [server], and gives up on it early when it has gone silent. The attempt itself goes
         * on, so that a server at work is not interrupted; nobody waits for its answer.
         */
        private suspend fun patiently(
            server: GroupServer,
            need: ReadRequirement,
            patience: Duration
        ): StatementAnswer? {
            // At once, so that the next read of a burst sees this one at the server.
            val attempt = context.scope.async(start = CoroutineStart.UNDISPATCHED) {
                attempt(server, need, patience)
            }
            while (true) {
                val answer = withTimeoutOrNull(SILENCE_CHECK) { Answer(attempt.await()) }
                if (answer != null) return answer.value
                if (server.isSilentFor(SILENCE_LIMIT)) {
                    refusal = "${server.name} is silent"
                    return null
                }
            }
        }

        private suspend fun attempt(
            server: GroupServer,
            need: ReadRequirement,
            patience: Duration
        ): StatementAnswer? {
            trace.server = server.name
            trace.need = need.point
            trace.attempts++
            val startedAt = context.time.markNow()
            val link = server.acquire(patience, urgency)?.getOrNull()
            trace.linkWait += startedAt.elapsedNow()
            if (link == null) {
                refusal = "no connection to ${server.name}"
                return null
            }
            try {
                return if (follows(server, link, need)) ask(server, link, need) else null
            } finally {
                server.release(link)
            }
        }

        /** True when the server is known to follow the term of [need]; asks if that is open. */
        private suspend fun follows(
            server: GroupServer,
            link: PooledLink,
            need: ReadRequirement
        ): Boolean {
            if (need.isCoveredBy(link.term)) return true
            server.call(link, listOf(LinkCommand.Rollback), minOf(LINK_PATIENCE, remaining()))
            refusal = "${server.name} has not followed term ${need.point.term}"
            return need.isCoveredBy(link.term)
        }

        private suspend fun ask(
            server: GroupServer,
            link: PooledLink,
            need: ReadRequirement
        ): StatementAnswer? {
            val commands = link.imprint(values.image) + work.commandsFor(link, need.point)
            return when (val result = server.call(link, commands, remaining())) {
                is CallResult.Answered -> answerOf(server, result)

                is CallResult.Lost -> {
                    refusal = "connection to ${server.name} lost"
                    null
                }

                CallResult.TimedOut -> refused(StatementCode.TIMEOUT, "no answer in time")
            }
        }

        private fun answerOf(server: GroupServer, result: CallResult.Answered): StatementAnswer? {
            val reply = result.last
            val code = reply.refusal?.code
            if (code != null && isRefusalBeforeRun(code)) {
                refusal = "${server.name} refused with $code"
                return null
            }
            return StatementAnswer(reply.rows, reply.result, SessionState.IDLE, reply.position)
        }
    }

    private class Answer(val value: StatementAnswer?)

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
        StatementCode.TIMEOUT,
        StatementCode.TOO_LARGE
        -> false
    }

    private fun busy(detail: String) = refused(StatementCode.BUSY, detail)

    private fun refused(code: StatementCode, detail: String) =
        StatementAnswer(emptyList(), StatementResult.Refused(code, detail), SessionState.IDLE)
}
