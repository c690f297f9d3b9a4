package org.yuccawind.proxy.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.time.Duration
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.nullable
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.port.InstanceEntry
import org.yuccawind.core.port.KeySnapshot
import org.yuccawind.core.port.Platform
import org.yuccawind.core.port.PlatformError
import org.yuccawind.core.port.StoredValue
import org.yuccawind.core.port.SwapResult
import org.yuccawind.core.wire.KeyQuery
import org.yuccawind.core.wire.PlatformReply
import org.yuccawind.core.wire.SwapCall
import org.yuccawind.core.wire.SwapReply
import org.yuccawind.proxy.http.JsonClient
import org.yuccawind.proxy.http.JsonResult
import org.yuccawind.proxy.metrics.TrafficCounter

private val CALL_TIMEOUT = Duration.ofMillis(1_000)
private val WATCH_TIMEOUT = Duration.ofMillis(15_000)

/** Client of the platform's key-value service over HTTP. */
internal class HttpPlatform(
    address: String,
    zone: AvailabilityZone,
    traffic: TrafficCounter = TrafficCounter.None
) : Platform {
    private val callClient = JsonClient(address, zone, CALL_TIMEOUT, traffic)
    private val watchClient = JsonClient(address, zone, WATCH_TIMEOUT, traffic)
    private val keysDecoder = KeySnapshot.serializer()

    override suspend fun get(key: String): Either<PlatformError, StoredValue?> =
        call("/get", KeyQuery.serializer(), KeyQuery(key), StoredValue.serializer().nullable)

    override suspend fun list(prefix: String): Either<PlatformError, KeySnapshot> =
        call("/list", KeyQuery.serializer(), KeyQuery(prefix), keysDecoder)

    override suspend fun watch(prefix: String, version: Long): Either<PlatformError, KeySnapshot> =
        call("/watch", KeyQuery.serializer(), KeyQuery(prefix, version), keysDecoder, watchClient)

    override suspend fun instances(): Either<PlatformError, List<InstanceEntry>> = call(
        "/instances",
        KeyQuery.serializer(),
        KeyQuery(""),
        ListSerializer(InstanceEntry.serializer())
    )

    override suspend fun compareAndSwap(
        key: String,
        expected: Long,
        value: String
    ): Either<PlatformError, SwapResult> {
        val body = SwapCall(key, expected, value)
        return call("/swap", SwapCall.serializer(), body, SwapReply.serializer()).map { reply ->
            if (reply.swapped) {
                SwapResult.Swapped(reply.version)
            } else {
                SwapResult.Conflict(reply.current)
            }
        }
    }

    private suspend fun <B, R> call(
        path: String,
        encoder: SerializationStrategy<B>,
        body: B,
        decoder: kotlinx.serialization.KSerializer<R>,
        client: JsonClient = callClient
    ): Either<PlatformError, R> {
        val replyDecoder: DeserializationStrategy<PlatformReply<R>> =
            PlatformReply.serializer(decoder)
        return when (val result = client.post(path, encoder, body, replyDecoder)) {
            is JsonResult.Replied -> result.value.value.right()
            is JsonResult.Refused -> PlatformError.Unavailable(result.detail).left()
            is JsonResult.NotSent -> PlatformError.Unavailable(result.detail).left()
            is JsonResult.Lost -> PlatformError.Unknown(result.detail).left()
        }
    }
}
