package org.yuccawind.proxy.http

import java.io.Closeable
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * Forwards TCP connections to a loopback port and can silently drop all data on the open
 * connections, like a network device that has lost their state.
 */
internal class BlackholeRelay(private val target: Int) : Closeable {
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val connections = CopyOnWriteArrayList<Connection>()

    val port get() = server.localPort

    /** Number of connections accepted. */
    val accepted get() = connections.size

    init {
        thread(isDaemon = true) {
            runCatching {
                while (true) connections += Connection(server.accept()).also(Connection::start)
            }
        }
    }

    /** Drops all further data on the open connections; new connections work. */
    fun blackhole() = connections.forEach { it.isBlackholed = true }

    override fun close() {
        server.close()
        connections.forEach(Connection::close)
    }

    private inner class Connection(private val downstream: Socket) : Closeable {
        private val upstream = Socket(InetAddress.getLoopbackAddress(), target)

        @Volatile
        var isBlackholed = false

        fun start() {
            forward(downstream, upstream)
            forward(upstream, downstream)
        }

        override fun close() {
            downstream.close()
            upstream.close()
        }

        private fun forward(from: Socket, to: Socket) = thread(isDaemon = true) {
            runCatching {
                val buffer = ByteArray(8_192)
                while (true) {
                    val count = from.getInputStream().read(buffer)
                    if (count < 0) break
                    if (!isBlackholed) to.getOutputStream().write(buffer, 0, count)
                }
            }
            if (!isBlackholed) close()
        }
    }
}
