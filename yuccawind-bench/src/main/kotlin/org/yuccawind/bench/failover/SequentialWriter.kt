package org.yuccawind.bench.failover

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.coroutines.delay
import org.yuccawind.bench.client.CallerClient
import org.yuccawind.bench.client.CallerReply
import org.yuccawind.core.model.RequestId
import org.yuccawind.core.result.Outcome
import org.yuccawind.proxy.caller.WriteBody

private val WRITE_INTERVAL = 10.milliseconds
private const val DEADLINE_MS = 14_000L
private const val KEY_COUNT = 64

/** Writes values one at a time, round-robin over the instances, and records their outcomes. */
internal class SequentialWriter(
    private val service: String,
    private val clients: () -> List<CallerClient>
) {
    private val timeSource = TimeSource.Monotonic
    private var session = ""
    private var sequence = 0
    private var requestCount = 0

    /** Values whose write was acknowledged. */
    val acknowledged = LinkedHashSet<String>()

    /** Values whose write was refused without execution. */
    val refused = LinkedHashSet<String>()

    /** Longest time between two acknowledged writes since the last [resetGap]. */
    @Volatile
    var longestGap = Duration.ZERO
        private set

    /** Time of the last acknowledged write, or of creation if there is none. */
    @Volatile
    var lastAcknowledgedAt: ComparableTimeMark = timeSource.markNow()
        private set

    /** Backend server that ran the last acknowledged write; null before the first. */
    @Volatile
    var server: String? = null
        private set

    /** Resets [longestGap] to zero. */
    fun resetGap() {
        longestGap = Duration.ZERO
    }

    /** Writes until [isStopped] returns true. */
    suspend fun run(isStopped: () -> Boolean) {
        while (!isStopped()) {
            writeOne()
            delay(WRITE_INTERVAL)
        }
    }

    /** Key whose list [value] is appended to; many keys keep the lists short. */
    fun keyOf(value: String) = "k${value.drop(1).toInt() % KEY_COUNT}"

    /** All keys that the writer appends to. */
    fun keys() = List(KEY_COUNT) { "k$it" }

    private suspend fun writeOne() {
        val value = "v${sequence++}"
        val body = WriteBody(
            RequestId("$service-$value"),
            listOf("append ${keyOf(value)} $value"),
            deadlineMs = DEADLINE_MS
        )
        var reply = nextClient().write(service, body, session)
        while (!isOutcomeKnown(reply)) reply = nextClient().write(service, body, session)
        recordOutcome(value, reply as CallerReply.Answered)
    }

    private fun nextClient(): CallerClient = clients().let { it[requestCount++ % it.size] }

    private fun isOutcomeKnown(reply: CallerReply) = reply is CallerReply.Answered &&
        reply.answer.outcome != Outcome.UNKNOWN.name

    private fun recordOutcome(value: String, reply: CallerReply.Answered) {
        if (reply.answer.outcome == Outcome.NOT_RUN.name) {
            refused += value
            return
        }
        acknowledged += value
        session = reply.session
        server = reply.answer.server
        longestGap = maxOf(longestGap, lastAcknowledgedAt.elapsedNow())
        lastAcknowledgedAt = timeSource.markNow()
    }
}
