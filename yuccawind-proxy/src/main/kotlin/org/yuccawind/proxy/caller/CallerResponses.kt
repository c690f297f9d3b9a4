package org.yuccawind.proxy.caller

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import org.yuccawind.core.result.Refusal
import org.yuccawind.core.result.ResultCode
import org.yuccawind.core.session.SessionToken
import org.yuccawind.core.wire.SESSION_HEADER
import org.yuccawind.proxy.http.WIRE_JSON

private const val MS_PER_SECOND = 1_000L
private const val DEFAULT_RETRY_DELAY_MS = 1_000L

/** Returns the HTTP response for this refusal. */
internal fun Refusal.toResponse(): HttpResponse {
    val answer = code.toAnswer().copy(detail = detail)
    val headers = ResponseHeaders.builder(HttpStatus.valueOf(code.httpStatus))
    retryDelayMs()?.let { headers.add(HttpHeaderNames.RETRY_AFTER, ceilToSeconds(it)) }
    return buildResponse(headers, answer)
}

/** Returns a successful response with the session token for the caller's next request. */
internal fun CallerAnswer.toResponse(session: SessionToken): HttpResponse {
    val headers = ResponseHeaders.builder(HttpStatus.OK).add(SESSION_HEADER, session.encode())
    return buildResponse(headers, this)
}

/** Returns a response body with the fields that follow from the result code. */
internal fun ResultCode.toAnswer() = CallerAnswer(number, name, outcome.name)

private fun buildResponse(
    headers: com.linecorp.armeria.common.ResponseHeadersBuilder,
    answer: CallerAnswer
): HttpResponse {
    val text = WIRE_JSON.encodeToString(CallerAnswer.serializer(), answer)
    return HttpResponse.of(
        headers.contentType(MediaType.JSON_UTF_8).build(),
        HttpData.ofUtf8(text)
    )
}

/** Returns the retry delay. 503 has a default delay, because unavailability is temporary. */
private fun Refusal.retryDelayMs(): Long? = retryAfterMs
    ?: DEFAULT_RETRY_DELAY_MS.takeIf { code.httpStatus == HttpStatus.SERVICE_UNAVAILABLE.code() }

private fun ceilToSeconds(ms: Long) = ((ms + MS_PER_SECOND - 1) / MS_PER_SECOND).toString()
