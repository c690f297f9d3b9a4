package org.yuccawind.bench.history

import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.delay
import org.yuccawind.bench.client.CallerClient
import org.yuccawind.bench.client.CallerReply
import org.yuccawind.core.model.RequestId
import org.yuccawind.core.result.Outcome
import org.yuccawind.core.result.ResultCode
import org.yuccawind.proxy.caller.CallerAnswer
import org.yuccawind.proxy.caller.ReadBody
import org.yuccawind.proxy.caller.WriteBody

private val OUTCOME_TIMEOUT = 40.seconds
private val MAX_PAUSE = 20.milliseconds
private val OUTCOME_POLL_INTERVAL = 200.milliseconds
private const val NAIVE_MAX_ATTEMPTS = 5
private const val MICROS_PER_MS = 1_000L
private const val READ_SHARE = 0.5
private const val TRANSACTION_SHARE = 0.25

/**
 * Session that sends writes, reads and transactions through random instances.
 *
 * @property session session number
 * @property service target service
 * @property keys keys shared by all sessions
 * @property clients one client per instance
 * @property isNaive true retries a write of unknown outcome under a new id; it may run twice
 * @property seed random seed of the session
 */
internal class HistoryCaller(
    private val session: Int,
    private val service: String,
    private val keys: List<String>,
    private val clients: List<CallerClient>,
    private val isNaive: Boolean,
    seed: Int
) {
    private val random = Random(seed)
    private var token = ""
    private var sequence = 0

    /** Sends operations until [end] and adds them to [operations]; times count from [start]. */
    suspend fun run(
        start: ComparableTimeMark,
        end: ComparableTimeMark,
        operations: ConcurrentLinkedQueue<Operation>
    ) {
        while (end.hasNotPassedNow()) {
            val choice = random.nextDouble()
            val operation = when {
                choice < READ_SHARE -> read(start)
                choice < READ_SHARE + TRANSACTION_SHARE -> transaction(start)
                else -> write(start)
            }
            operation?.let(operations::add)
            delay(MAX_PAUSE * random.nextDouble())
        }
    }

    private suspend fun read(start: ComparableTimeMark): Operation? {
        val key = keys.random(random)
        val kind = Kind.entries.random(random)
        val invokedAt = start.micros()
        val reply = randomClient().read(service, ReadBody("get $key", kind.label), token)
        val answer = receive(reply) ?: return null
        if (answer.outcome != Outcome.RAN.name) return null
        val values = parseList(answer.rows.firstOrNull())
        val age = kind.maxAgeMs?.let { it * MICROS_PER_MS }
        return Operation.Read(
            session,
            key,
            age,
            values,
            answer.server,
            invokedAt,
            start.micros()
        )
    }

    private suspend fun write(start: ComparableTimeMark): Operation {
        val value = nextValue()
        val key = keys.random(random)
        val invokedAt = start.micros()
        var id = newRequestId(value)
        var answer = send(id, key, value)
        var attempts = 1
        while (isNaive && isUnknown(answer) && attempts++ < NAIVE_MAX_ATTEMPTS) {
            id = newRequestId("$value.$attempts")
            answer = send(id, key, value)
        }
        if (!isNaive) answer = awaitOutcome(id, answer)
        return record(id, listOf(key), value, answer, invokedAt, start)
    }

    private suspend fun send(id: RequestId, key: String, value: String) =
        receive(randomClient().write(service, WriteBody(id, listOf("append $key $value")), token))

    private suspend fun transaction(start: ComparableTimeMark): Operation? {
        val value = nextValue()
        val id = newRequestId(value)
        val chosenKeys = keys.shuffled(random).take(2)
        val invokedAt = start.micros()
        val handle = receive(randomClient().begin(service, token))?.transaction ?: return null
        val returnedLists = ArrayList<List<String>>()
        var answer: CallerAnswer? = null
        for (key in chosenKeys) {
            answer = receive(randomClient().execute(service, handle, "append $key $value"))
            if (answer?.outcome != Outcome.RAN.name) break
            returnedLists += parseList(answer.rows.firstOrNull())
        }
        if (answer?.outcome != Outcome.RAN.name) {
            return abandonedTransaction(id, chosenKeys, value, invokedAt, start)
        }
        val committed = awaitOutcome(id, receive(randomClient().commit(service, handle, id, token)))
        val operation = record(id, chosenKeys, value, committed, invokedAt, start)
        return operation.copy(answers = returnedLists)
    }

    /** Records an uncommitted transaction as not run: none of its appends may become visible. */
    private fun abandonedTransaction(
        id: RequestId,
        chosenKeys: List<String>,
        value: String,
        invokedAt: Long,
        start: ComparableTimeMark
    ) = Operation.Write(
        session,
        id.value,
        chosenKeys,
        value,
        Outcome.NOT_RUN,
        "NEVER_COMMITTED",
        emptyList(),
        null,
        invokedAt,
        start.micros()
    )

    /** Polls random instances until the outcome is known or the timeout expires. */
    private suspend fun awaitOutcome(id: RequestId, first: CallerAnswer?): CallerAnswer? {
        var answer = first
        val startedAt = TimeSource.Monotonic.markNow()
        while (isUnknown(answer) && startedAt.elapsedNow() < OUTCOME_TIMEOUT) {
            delay(OUTCOME_POLL_INTERVAL)
            answer = receive(randomClient().outcome(service, id, token))
        }
        return answer
    }

    private fun record(
        id: RequestId,
        written: List<String>,
        value: String,
        answer: CallerAnswer?,
        invokedAt: Long,
        start: ComparableTimeMark
    ) = Operation.Write(
        session,
        id.value,
        written,
        value,
        answer?.let { Outcome.valueOf(it.outcome) } ?: Outcome.UNKNOWN,
        answer?.name ?: ResultCode.OUTCOME_UNKNOWN.name,
        answer?.rows.orEmpty().map(::parseList),
        answer?.server,
        invokedAt,
        start.micros()
    )

    private fun isUnknown(answer: CallerAnswer?) =
        answer == null || answer.outcome == Outcome.UNKNOWN.name

    private fun receive(reply: CallerReply): CallerAnswer? = when (reply) {
        is CallerReply.Answered -> reply.answer.also { token = reply.session }
        is CallerReply.Broken -> null
    }

    private fun randomClient() = clients.random(random)

    private fun nextValue() = "s$session.${sequence++}"

    private fun newRequestId(value: String) = RequestId("$service.$value")

    private fun parseList(row: String?) = row?.split(',').orEmpty()

    private fun ComparableTimeMark.micros() = elapsedNow().inWholeMicroseconds

    private enum class Kind(val label: String, val maxAgeMs: Long?) {
        ANY("default", null),
        SECOND("second", 1_000),
        CURRENT("current", 0)
    }
}
