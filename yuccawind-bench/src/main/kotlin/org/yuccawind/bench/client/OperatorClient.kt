package org.yuccawind.bench.client

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import java.time.Duration
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.future.await
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import org.yuccawind.core.wire.AdminReply
import org.yuccawind.core.wire.ApplyCall
import org.yuccawind.core.wire.ApplyView
import org.yuccawind.core.wire.OPERATOR_KEY_HEADER
import org.yuccawind.core.wire.ServiceStatusView
import org.yuccawind.standins.http.STANDIN_JSON

private val TIMEOUT = Duration.ofSeconds(10)

/** HTTP client for the operator API of one entry instance. */
class OperatorClient(address: String, private val key: String) {
    private val client = WebClient.builder("http://$address").responseTimeout(TIMEOUT).build()

    /** Submits the configuration change [call]; null if there was no valid response. */
    suspend fun apply(call: ApplyCall): AdminReply<ApplyView>? {
        val body = STANDIN_JSON.encodeToString(ApplyCall.serializer(), call)
        return send(HttpMethod.POST, "/v1/config/apply", body, ApplyView.serializer())
    }

    /** Services in force on the instance; null if there was no valid response. */
    suspend fun services(): List<ServiceStatusView>? =
        send(HttpMethod.GET, "/v1/services", "", ListSerializer(ServiceStatusView.serializer()))
            ?.value

    private suspend fun <T> send(
        method: HttpMethod,
        path: String,
        body: String,
        serializer: KSerializer<T>
    ): AdminReply<T>? = try {
        val headers = RequestHeaders.builder(method, path)
            .contentType(MediaType.JSON_UTF_8)
            .add(OPERATOR_KEY_HEADER, key)
            .build()
        val response = client.execute(headers, HttpData.ofUtf8(body)).aggregate().await()
        STANDIN_JSON.decodeFromString(AdminReply.serializer(serializer), response.contentUtf8())
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        null
    }
}
