package org.yuccawind.bench.overload

import java.util.UUID
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.yuccawind.bench.client.CallerClient
import org.yuccawind.bench.client.CallerReply
import org.yuccawind.core.model.RequestId
import org.yuccawind.proxy.caller.ReadBody
import org.yuccawind.proxy.caller.WriteBody

private const val DEADLINE_MS = 500L
private const val REQUESTS_PER_WRITE = 20

/**
 * Sends requests at a constant rate without waiting for earlier responses.
 *
 * @property clients one client per instance
 * @property service target service
 * @property perSecond requests per second
 * @property random source of randomness
 */
internal class OpenLoopLoad(
    private val clients: List<CallerClient>,
    private val service: String,
    private val perSecond: Int,
    private val random: Random
) {
    /** Sends requests for [duration] and waits for all responses. */
    suspend fun run(duration: Duration): LoadStats {
        val stats = LoadStats(duration)
        val startedAt = TimeSource.Monotonic.markNow()
        coroutineScope {
            var sent = 0
            while (startedAt.elapsedNow() < duration) {
                val due = (startedAt.elapsedNow() / 1.seconds * perSecond).toInt()
                while (sent < due) {
                    val client = clients.random(random)
                    val isWrite = sent++ % REQUESTS_PER_WRITE == 0
                    launch(Dispatchers.Default) { send(client, isWrite, stats) }
                }
                delay(1)
            }
        }
        return stats
    }

    private suspend fun send(client: CallerClient, isWrite: Boolean, stats: LoadStats) {
        val sentAt = TimeSource.Monotonic.markNow()
        if (!isWrite) return stats.add(read(client), sentAt.elapsedNow(), null)
        val key = "overload/${UUID.randomUUID()}"
        stats.add(write(client, key), sentAt.elapsedNow(), key)
    }

    private suspend fun read(client: CallerClient): CallerReply =
        client.read(service, ReadBody("get k", deadlineMs = DEADLINE_MS))

    private suspend fun write(client: CallerClient, key: String): CallerReply {
        val id = RequestId(key)
        return client.write(service, WriteBody(id, listOf("put $key 1"), deadlineMs = DEADLINE_MS))
    }
}
