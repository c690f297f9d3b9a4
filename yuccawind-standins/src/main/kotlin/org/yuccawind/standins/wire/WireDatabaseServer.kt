package org.yuccawind.standins.wire

import io.github.oshai.kotlinlogging.KotlinLogging
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread
import kotlinx.coroutines.runBlocking

private val log = KotlinLogging.logger {}

/** Serves a [WireDatabase] on a free loopback port, with one thread per connection. */
class WireDatabaseServer(private val database: WireDatabase) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())

    private val sockets: MutableSet<Socket> = ConcurrentHashMap.newKeySet()

    /** IP address and port. */
    val address = "127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true, name = "wire-${database.name}") { accept() }
    }

    override fun close() = listener.close()

    /** Resets all open connections. */
    fun resetConnections() = sockets.forEach {
        try {
            it.setSoLinger(true, 0)
            it.close()
        } catch (e: SocketException) {
            log.info { "connection to ${database.name} already closed: ${e.message}" }
        }
    }

    private fun accept() {
        try {
            while (true) {
                val socket = listener.accept()
                thread(isDaemon = true) { socket.use(::serve) }
            }
        } catch (e: SocketException) {
            log.info { "${database.name} stopped listening: ${e.message}" }
        }
    }

    private fun serve(socket: Socket) {
        val session = database.connect()
        sockets += socket
        try {
            answerAll(WireLineReader(socket.getInputStream()), socket, session)
        } catch (e: SocketException) {
            log.info { "connection to ${database.name} closed: ${e.message}" }
        } finally {
            sockets -= socket
            session.close()
        }
    }

    private fun answerAll(reader: WireLineReader, socket: Socket, session: WireSession) {
        val writer = AnswerWriter(socket, { database.answerFaults }, { database.faultRandom })
        while (true) {
            val line = reader.read() ?: return
            val hasFaults = session.isStarted
            val answer = runBlocking { session.handle(line) }
            if (!writer.write(answer, hasFaults) || answer.last().startsWith("ERROR")) return
        }
    }

    private companion object {
        const val BACKLOG = 64
    }
}
