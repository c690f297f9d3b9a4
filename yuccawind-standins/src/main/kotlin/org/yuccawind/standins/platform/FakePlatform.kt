package org.yuccawind.standins.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.port.Platform
import org.yuccawind.core.port.PlatformError
import org.yuccawind.core.port.SwapResult
import org.yuccawind.core.wire.SwapCall

private val CALL_TIMEOUT = 1_000.milliseconds
private val WATCH_TIMEOUT = 15_000.milliseconds

/**
 * An in-process platform for tests under virtual time.
 *
 * @property model the stand-in that serves the calls
 * @property zone availability zone of the caller; cut zones are matched against it
 * @property oneWay one-way message delay
 */
class FakePlatform(
    private val model: PlatformModel,
    private val zone: AvailabilityZone,
    private val oneWay: Duration = 2.milliseconds
) : Platform {
    override suspend fun get(key: String) = call(CALL_TIMEOUT) { model.get(key) }

    override suspend fun list(prefix: String) = call(CALL_TIMEOUT) { model.list(prefix) }

    override suspend fun instances() = call(CALL_TIMEOUT) { model.instances() }

    override suspend fun watch(prefix: String, version: Long) =
        call(WATCH_TIMEOUT) { model.watch(prefix, version) }

    override suspend fun compareAndSwap(
        key: String,
        expected: Long,
        value: String
    ): Either<PlatformError, SwapResult> = call(CALL_TIMEOUT) {
        val reply = model.swap(SwapCall(key, expected, value))
        if (reply.swapped) SwapResult.Swapped(reply.version) else SwapResult.Conflict(reply.current)
    }

    private suspend fun <T> call(
        timeout: Duration,
        block: suspend () -> T
    ): Either<PlatformError, T> = withTimeoutOrNull(timeout) {
        delay(oneWay)
        if (!model.applyFaults(zone.value)) {
            return@withTimeoutOrNull PlatformError.Unavailable("platform outage").left()
        }
        val reply = block()
        delay(oneWay)
        reply.right()
    } ?: PlatformError.Unknown("no reply in $timeout").left()
}
