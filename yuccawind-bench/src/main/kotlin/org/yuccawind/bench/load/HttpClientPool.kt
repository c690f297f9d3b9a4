package org.yuccawind.bench.load

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import java.io.Closeable
import kotlinx.coroutines.future.await

/**
 * HTTP client that spreads requests to one address over several HTTP/2 connections.
 *
 * @property address IP address and port
 * @property connections number of connections
 */
internal class HttpClientPool(address: String, private val connections: Int) : Closeable {
    private val factories = List(connections) {
        ClientFactory.builder()
            .workerGroup(ClientFactory.ofDefault().eventLoopGroup(), false)
            .build()
    }
    private val clients = factories.map { WebClient.builder("http://$address").factory(it).build() }

    /** Posts [body] to [path] on the connection [index] modulo the number of connections. */
    suspend fun post(index: Int, path: String, body: String): AggregatedHttpResponse {
        val headers = RequestHeaders.builder(HttpMethod.POST, path)
            .contentType(MediaType.JSON_UTF_8)
            .build()
        val client = clients[index % connections]
        return client.execute(headers, HttpData.ofUtf8(body)).aggregate().await()
    }

    override fun close() = factories.forEach(ClientFactory::close)
}
