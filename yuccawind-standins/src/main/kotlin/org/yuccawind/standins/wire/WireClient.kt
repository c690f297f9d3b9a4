package org.yuccawind.standins.wire

import java.io.EOFException
import java.net.InetAddress
import java.net.Socket
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val DEFAULT_TIMEOUT = 5.seconds

/**
 * Client session of the line protocol on a loopback port. Each character of a text is one byte.
 *
 * @param timeout longest wait for a message, after which SocketTimeoutException is thrown
 */
class WireClient(port: Int, database: String, timeout: Duration = DEFAULT_TIMEOUT) : AutoCloseable {
    private val socket = Socket(InetAddress.getLoopbackAddress(), port)
    private val reader = WireLineReader(socket.getInputStream())

    /** Answer to the start of the session. */
    val greeting: String

    init {
        socket.soTimeout = timeout.inWholeMilliseconds.toInt()
        send("START $database test")
        greeting = read()
    }

    /** Sends a statement and returns the messages of the answer, up to and including READY. */
    fun query(id: String, text: String): List<String> {
        send("QUERY $id $text")
        val answer = ArrayList<String>()
        do answer += read() while (!answer.last().startsWith("READY "))
        return answer
    }

    /** Sends [message] and its end. */
    fun send(message: String) =
        socket.getOutputStream().write("$message\r\n".toByteArray(Charsets.ISO_8859_1))

    /** Returns the next message; throws EOFException at the end of the input. */
    fun read(): String = reader.read() ?: throw EOFException("connection closed by the instance")

    /** True if a message other than ERROR has arrived and is not read yet. */
    fun hasUnreadAnswer() = reader.peek().let { it != null && it != 'E' }

    override fun close() = socket.close()
}
