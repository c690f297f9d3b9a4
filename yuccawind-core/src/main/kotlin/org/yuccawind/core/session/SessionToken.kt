package org.yuccawind.core.session

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.result.Refusal
import org.yuccawind.core.result.ResultCode

private const val MAX_TOKEN_LENGTH = 4_096
private const val MAX_SERVICES = 32

/**
 * Session consistency token: for each service the log point that later reads must include.
 *
 * The caller sends the token with each request, so any instance can serve the session's next one.
 *
 * @property points greatest log point observed by the session, by service
 */
data class SessionToken(val points: Map<ServiceName, LogPoint> = emptyMap()) {
    /** Returns the log point that reads of [service] must include. */
    fun pointOf(service: ServiceName) = points[service] ?: LogPoint.ZERO

    /** Returns a token that also includes [point]; the point of a service never decreases. */
    fun advance(service: ServiceName, point: LogPoint) =
        SessionToken(points + (service to maxOf(pointOf(service), point)))

    /** Formats the header value: comma-separated `service=term.position`, sorted by service. */
    fun encode() =
        points.entries.sortedBy { it.key.value }.joinToString(",") { "${it.key}=${it.value}" }

    companion object {
        /** Parses the header value; a malformed one is refused with [ResultCode.BAD_SESSION]. */
        fun decode(text: String?): Either<Refusal, SessionToken> = either {
            if (text.isNullOrEmpty()) return@either SessionToken()
            ensure(text.length <= MAX_TOKEN_LENGTH) { refusal("longer than $MAX_TOKEN_LENGTH") }
            val parts = text.split(',')
            ensure(parts.size <= MAX_SERVICES) { refusal("more than $MAX_SERVICES services") }
            val points = HashMap<ServiceName, LogPoint>()
            for (part in parts) {
                val name = part.substringBefore('=', "")
                val point = LogPoint.parse(part.substringAfter('=', ""))
                ensure(name.isNotEmpty() && point != null) {
                    refusal("expected service=term.position")
                }
                points.merge(ServiceName(name), point, ::maxOf)
            }
            SessionToken(points)
        }

        private fun refusal(detail: String) =
            Refusal(ResultCode.BAD_SESSION, "session token: $detail")
    }
}
