package org.yuccawind.bench.cluster

import java.net.InetAddress
import java.net.ServerSocket

/** Finds unused loopback ports. */
internal object FreePorts {
    /** Returns [count] distinct ports. They are free on return but not reserved. */
    fun find(count: Int): List<Int> {
        val sockets = List(count) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
        return sockets.map { it.localPort }.also { sockets.forEach(ServerSocket::close) }
    }
}
