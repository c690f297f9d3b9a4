package org.yuccawind.bench.load

import java.io.Closeable
import org.yuccawind.core.port.Command
import org.yuccawind.core.wire.BackendCall
import org.yuccawind.core.wire.BackendReply
import org.yuccawind.standins.http.STANDIN_JSON

/** Sends statements straight to a database stand-in, with one connection per worker. */
class DirectTarget private constructor(
    private val http: HttpClientPool,
    private val paths: List<String>,
    statement: String
) : LoadTarget,
    Closeable {
    private val body = STANDIN_JSON.encodeToString(
        BackendCall.serializer(),
        BackendCall(1, Command.Query(statement))
    )

    override suspend fun run(connection: Int): Boolean = runCatching {
        http.post(connection, paths[connection % paths.size], body).contentUtf8().contains("rows")
    }.getOrDefault(false)

    override fun close() = http.close()

    companion object {
        /** Opens [workers] database connections over [connections] HTTP/2 connections. */
        suspend fun open(
            address: String,
            workers: Int,
            connections: Int,
            statement: String
        ): DirectTarget {
            val http = HttpClientPool(address, connections)
            val paths = List(workers) { index ->
                val text = http.post(index, "/open", "").contentUtf8()
                val reply = STANDIN_JSON.decodeFromString(BackendReply.serializer(), text)
                "/connections/${(reply as BackendReply.Opened).connection}/execute"
            }
            return DirectTarget(http, paths, statement)
        }
    }
}
