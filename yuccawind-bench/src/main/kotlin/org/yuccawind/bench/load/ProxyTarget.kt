package org.yuccawind.bench.load

import java.io.Closeable
import org.yuccawind.core.result.ResultCode
import org.yuccawind.proxy.caller.ReadBody
import org.yuccawind.standins.http.STANDIN_JSON

/** Sends reads through an entry instance. */
class ProxyTarget(address: String, service: String, connections: Int, statement: String) :
    LoadTarget,
    Closeable {
    private val http = HttpClientPool(address, connections)
    private val path = "/v1/services/$service/read"
    private val body = STANDIN_JSON.encodeToString(ReadBody.serializer(), ReadBody(statement))
    private val okCode = "\"code\":${ResultCode.OK.number}"

    override suspend fun run(connection: Int): Boolean = runCatching {
        http.post(connection, path, body).contentUtf8().contains(okCode)
    }.getOrDefault(false)

    override fun close() = http.close()
}
