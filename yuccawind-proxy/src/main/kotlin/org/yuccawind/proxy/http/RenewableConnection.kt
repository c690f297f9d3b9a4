package org.yuccawind.proxy.http

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import java.time.Duration
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Number of consecutive timeouts after which a connection is replaced. */
internal const val MAX_CONSECUTIVE_TIMEOUTS = 2

/**
 * The TCP connection to one address, replaced after [MAX_CONSECUTIVE_TIMEOUTS] timeouts in a row.
 *
 * If a device on the network path drops the state of a connection, the connection stays open
 * without an error and HTTP/2 sends all later requests over it. Pings do not detect this, because
 * they are sent on idle connections only.
 */
internal class RenewableConnection(address: String, private val timeout: Duration) {
    private val uri = "http://$address"
    private val lock = ReentrantLock()
    private val consecutiveTimeouts = AtomicInteger()
    private var factory = newFactory()

    /** Client for the current connection. */
    @Volatile
    var client: WebClient = newClient()
        private set

    /** Records a reply and resets the count of consecutive timeouts. */
    fun onReply() {
        if (consecutiveTimeouts.get() != 0) consecutiveTimeouts.set(0)
    }

    /** Records a request that timed out; replaces the connection once the limit is reached. */
    fun onTimeout() {
        if (consecutiveTimeouts.incrementAndGet() < MAX_CONSECUTIVE_TIMEOUTS) return
        lock.withLock { if (consecutiveTimeouts.get() >= MAX_CONSECUTIVE_TIMEOUTS) replace() }
    }

    private fun replace() {
        closeAfterTimeout(factory)
        factory = newFactory()
        client = newClient()
        consecutiveTimeouts.set(0)
    }

    /** Closes [old] after one request timeout, so that requests in progress can still complete. */
    private fun closeAfterTimeout(old: ClientFactory) {
        old.eventLoopGroup()
            .schedule({ old.closeAsync() }, timeout.toMillis(), TimeUnit.MILLISECONDS)
    }

    private fun newClient() =
        WebClient.builder(uri).factory(factory).responseTimeout(timeout).build()

    private fun newFactory() = ClientFactory.builder()
        .workerGroup(ClientFactory.ofDefault().eventLoopGroup(), false)
        .build()
}
