package org.yuccawind.proxy.caller

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.ContentTooLargeException
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.server.HttpStatusException
import com.linecorp.armeria.server.ServerErrorHandler
import com.linecorp.armeria.server.ServiceConfig
import com.linecorp.armeria.server.ServiceRequestContext
import org.yuccawind.core.result.Refusal
import org.yuccawind.core.result.ResultCode

/** Responds with a result code when the HTTP layer itself rejects a request. */
internal object ResultCodeErrorHandler : ServerErrorHandler {
    override fun onServiceException(
        context: ServiceRequestContext,
        cause: Throwable
    ): HttpResponse = refusalOf(cause).toResponse()

    override fun onProtocolViolation(
        config: ServiceConfig,
        headers: RequestHeaders?,
        status: HttpStatus,
        description: String?,
        cause: Throwable?
    ): AggregatedHttpResponse = refusalOf(status, description).toResponse().aggregate().join()

    override fun renderStatus(
        context: ServiceRequestContext?,
        config: ServiceConfig,
        headers: RequestHeaders?,
        status: HttpStatus,
        description: String?,
        cause: Throwable?
    ): AggregatedHttpResponse = refusalOf(status, description).toResponse().aggregate().join()

    private fun refusalOf(cause: Throwable): Refusal = when (cause) {
        is ContentTooLargeException -> refusalOf(HttpStatus.REQUEST_ENTITY_TOO_LARGE, null)
        is HttpStatusException -> refusalOf(cause.httpStatus(), null)
        else -> Refusal(ResultCode.OUTCOME_UNKNOWN, "internal: ${cause.javaClass.simpleName}")
    }

    private fun refusalOf(status: HttpStatus, description: String?): Refusal {
        val code = when (status) {
            HttpStatus.REQUEST_ENTITY_TOO_LARGE -> ResultCode.BODY_TOO_LARGE
            HttpStatus.NOT_FOUND, HttpStatus.METHOD_NOT_ALLOWED -> ResultCode.NO_SUCH_PATH
            else -> ResultCode.BAD_REQUEST
        }
        return Refusal(code, description ?: status.reasonPhrase())
    }
}
