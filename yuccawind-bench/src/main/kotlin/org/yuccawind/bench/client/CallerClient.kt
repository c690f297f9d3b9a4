package org.yuccawind.bench.client

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import java.time.Duration
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.future.await
import kotlinx.serialization.SerializationStrategy
import org.yuccawind.core.model.RequestId
import org.yuccawind.core.wire.SESSION_HEADER
import org.yuccawind.proxy.caller.CallerAnswer
import org.yuccawind.proxy.caller.CommitBody
import org.yuccawind.proxy.caller.ExecuteBody
import org.yuccawind.proxy.caller.ReadBody
import org.yuccawind.proxy.caller.WriteBody
import org.yuccawind.standins.http.STANDIN_JSON

private val TIMEOUT = Duration.ofSeconds(30)

/** HTTP client for the caller API of one entry instance. */
class CallerClient(address: String) {
    private val client = WebClient.builder("http://$address").responseTimeout(TIMEOUT).build()

    /** Sends a read with the session token [session]. */
    suspend fun read(service: String, body: ReadBody, session: String = ""): CallerReply =
        post("/v1/services/$service/read", ReadBody.serializer(), body, session)

    /** Sends a write with the session token [session]. */
    suspend fun write(service: String, body: WriteBody, session: String = ""): CallerReply =
        post("/v1/services/$service/write", WriteBody.serializer(), body, session)

    /** Queries the outcome of the request [id]. */
    suspend fun outcome(service: String, id: RequestId, session: String = ""): CallerReply =
        send(HttpMethod.GET, "/v1/services/$service/requests/$id", "", session)

    /** Opens a transaction. */
    suspend fun begin(service: String, session: String = ""): CallerReply =
        send(HttpMethod.POST, "/v1/services/$service/transactions", "", session)

    /** Runs [statement] in [transaction]. */
    suspend fun execute(service: String, transaction: String, statement: String): CallerReply {
        val path = "/v1/services/$service/transactions/$transaction/execute"
        return post(path, ExecuteBody.serializer(), ExecuteBody(statement), "")
    }

    /** Commits [transaction] under the request id [id]. */
    suspend fun commit(
        service: String,
        transaction: String,
        id: RequestId,
        session: String = ""
    ): CallerReply {
        val path = "/v1/services/$service/transactions/$transaction/commit"
        return post(path, CommitBody.serializer(), CommitBody(id), session)
    }

    private suspend fun <B> post(
        path: String,
        serializer: SerializationStrategy<B>,
        body: B,
        session: String
    ) = send(HttpMethod.POST, path, STANDIN_JSON.encodeToString(serializer, body), session)

    private suspend fun send(
        method: HttpMethod,
        path: String,
        text: String,
        session: String
    ): CallerReply = try {
        val headers = RequestHeaders.builder(method, path).contentType(MediaType.JSON_UTF_8)
        if (session.isNotEmpty()) headers.add(SESSION_HEADER, session)
        val body = HttpData.ofUtf8(text)
        val response = client.execute(headers.build(), body).aggregate().await()
        val answer =
            STANDIN_JSON.decodeFromString(CallerAnswer.serializer(), response.contentUtf8())
        CallerReply.Answered(answer, response.headers().get(SESSION_HEADER) ?: session)
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        CallerReply.Broken(e.cause?.javaClass?.simpleName ?: e.javaClass.simpleName)
    }
}

/** Result of a call to the caller API. */
sealed interface CallerReply {
    /** Response with a result code, and the session token for the next request. */
    data class Answered(val answer: CallerAnswer, val session: String) : CallerReply

    /** The call failed without a valid response, so its outcome is unknown. */
    data class Broken(val reason: String) : CallerReply
}
