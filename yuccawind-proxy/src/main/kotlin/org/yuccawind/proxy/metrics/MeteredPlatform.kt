package org.yuccawind.proxy.metrics

import arrow.core.Either
import kotlin.time.TimeSource
import org.yuccawind.core.port.InstanceEntry
import org.yuccawind.core.port.KeySnapshot
import org.yuccawind.core.port.Platform
import org.yuccawind.core.port.PlatformError
import org.yuccawind.core.port.StoredValue
import org.yuccawind.core.port.SwapResult

/** Counts and times the calls to [next]. */
internal class MeteredPlatform(
    private val next: Platform,
    private val metrics: Metrics,
    private val time: TimeSource
) : Platform by next {
    override suspend fun get(key: String): Either<PlatformError, StoredValue?> =
        timed("get") { next.get(key) }

    override suspend fun list(prefix: String): Either<PlatformError, KeySnapshot> =
        timed("list") { next.list(prefix) }

    override suspend fun compareAndSwap(
        key: String,
        expected: Long,
        value: String
    ): Either<PlatformError, SwapResult> =
        timed("compare_and_swap") { next.compareAndSwap(key, expected, value) }

    override suspend fun watch(prefix: String, version: Long): Either<PlatformError, KeySnapshot> =
        next.watch(prefix, version)
            .also { metrics.recordPlatformCall("watch", resultOf(it), elapsed = null) }

    override suspend fun instances(): Either<PlatformError, List<InstanceEntry>> =
        timed("instances") { next.instances() }

    private suspend fun <T> timed(
        operation: String,
        call: suspend () -> Either<PlatformError, T>
    ): Either<PlatformError, T> {
        val startedAt = time.markNow()
        return call()
            .also { metrics.recordPlatformCall(operation, resultOf(it), startedAt.elapsedNow()) }
    }

    private fun resultOf(result: Either<PlatformError, *>) = when (result) {
        is Either.Right -> "ok"

        is Either.Left -> when (result.value) {
            is PlatformError.Unavailable -> "unavailable"
            is PlatformError.Unknown -> "unknown"
        }
    }
}
