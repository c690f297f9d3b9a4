package org.yuccawind.bench.reads

import java.util.UUID
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.yuccawind.bench.client.CallerClient
import org.yuccawind.bench.client.CallerReply
import org.yuccawind.core.model.RequestId
import org.yuccawind.core.result.Outcome
import org.yuccawind.proxy.caller.ReadBody
import org.yuccawind.proxy.caller.WriteBody

private const val KEYS_PER_SESSION = 4
private const val REQUESTS_PER_WRITE = 10

/**
 * Runs concurrent sessions with one write per nine reads on average. Each request goes to a random
 * instance.
 *
 * @property clients one client per instance
 * @property service target service
 * @property sessions number of concurrent sessions
 * @property pause mean time between two requests of a session
 * @property seed random seed
 */
internal class SessionLoad(
    private val clients: List<CallerClient>,
    private val service: String,
    private val sessions: Int,
    private val pause: Duration,
    private val seed: Long
) {
    /** Runs the sessions for [duration] and returns their statistics. */
    suspend fun run(duration: Duration): ReadStats {
        val stats = ReadStats()
        val startedAt = TimeSource.Monotonic.markNow()
        coroutineScope {
            repeat(sessions) { number ->
                launch(Dispatchers.Default) {
                    val session = Session(number, Random(seed * sessions + number), stats)
                    while (startedAt.elapsedNow() < duration) session.step()
                }
            }
        }
        return stats
    }

    /** Session that tracks the last version it wrote to each key, to detect stale reads. */
    private inner class Session(
        private val number: Int,
        private val random: Random,
        private val stats: ReadStats
    ) {
        private val versions = IntArray(KEYS_PER_SESSION)
        private var token = ""

        suspend fun step() {
            delay(random.nextLong(2 * pause.inWholeMilliseconds + 1).milliseconds)
            val key = random.nextInt(KEYS_PER_SESSION)
            if (random.nextInt(REQUESTS_PER_WRITE) == 0) write(key) else read(key)
        }

        private suspend fun write(key: Int) {
            val next = versions[key] + 1
            val id = RequestId(UUID.randomUUID().toString())
            val body = WriteBody(id, listOf("put ${keyName(key)} $next"))
            val reply = clients.random(random).write(service, body, token)
            stats.recordWrite(reply)
            if (isServed(reply)) {
                versions[key] = next
                token = (reply as CallerReply.Answered).session
            }
        }

        private suspend fun read(key: Int) {
            val startedAt = TimeSource.Monotonic.markNow()
            val reply = clients.random(random).read(service, ReadBody("get ${keyName(key)}"), token)
            stats.recordRead(reply, startedAt.elapsedNow())
            if (!isServed(reply)) return
            val answered = reply as CallerReply.Answered
            val version = answered.answer.rows.firstOrNull()?.toInt() ?: 0
            if (version < versions[key]) stats.recordStale()
            token = answered.session
        }

        private fun isServed(reply: CallerReply) =
            reply is CallerReply.Answered && reply.answer.outcome == Outcome.RAN.name

        private fun keyName(key: Int) = "s$number/$key"
    }
}
