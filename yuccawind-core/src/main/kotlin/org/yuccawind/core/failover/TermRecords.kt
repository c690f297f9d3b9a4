package org.yuccawind.core.failover

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import java.util.UUID
import kotlinx.serialization.SerializationException
import kotlinx.serialization.StringFormat
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.port.Platform
import org.yuccawind.core.port.PlatformError
import org.yuccawind.core.port.StoredValue
import org.yuccawind.core.port.SwapResult

/**
 * Access to the term record of one service in the platform. Writes use compare-and-swap; if the
 * reply to a write is lost, the record is read back and the nonce tells whether the write
 * succeeded.
 *
 * @property service the service
 * @property instance this instance, stored in the record as promoter
 */
class TermRecords(
    val service: ServiceName,
    private val instance: InstanceId,
    private val platform: Platform,
    private val format: StringFormat
) {
    private val key = "terms/$service"

    /** Reads the record; null if the service was never promoted. */
    suspend fun read(): Either<PlatformError, VersionedTerm?> =
        platform.get(key).flatMap { stored -> stored?.let(::decode) ?: null.right() }

    /** Takes the term after [current] for this instance, without naming a primary yet. */
    suspend fun takeTermAfter(current: VersionedTerm?): Either<PlatformError, VersionedTerm> {
        val next = TermRecord((current?.record?.term ?: 0) + 1, null, nonce(), instance.value)
        return swap(current?.version ?: 0, next)
    }

    /** Records [primary] as the primary of [term] if the record still has [version]. */
    suspend fun name(
        term: Long,
        version: Long,
        primary: BackendServerName
    ): Either<PlatformError, VersionedTerm> =
        swap(version, TermRecord(term, primary, nonce(), instance.value))

    private suspend fun swap(
        expectedVersion: Long,
        next: TermRecord
    ): Either<PlatformError, VersionedTerm> {
        val text = format.encodeToString(TermRecord.serializer(), next)
        return platform.compareAndSwap(key, expectedVersion, text).fold(
            { readBack(next, it) },
            { result -> if (result is SwapResult.Swapped) swapped(next, result) else superseded() }
        )
    }

    private suspend fun readBack(
        next: TermRecord,
        error: PlatformError
    ): Either<PlatformError, VersionedTerm> {
        val current = read().getOrNull()
        return current?.takeIf { it.record.nonce == next.nonce }?.right() ?: error.left()
    }

    private fun swapped(next: TermRecord, result: SwapResult.Swapped) =
        VersionedTerm(next, result.version).right()

    private fun superseded() = PlatformError.Unavailable("another promoter went on").left()

    private fun decode(stored: StoredValue): Either<PlatformError, VersionedTerm> = try {
        val record = format.decodeFromString(TermRecord.serializer(), stored.value)
        VersionedTerm(record, stored.version).right()
    } catch (e: SerializationException) {
        PlatformError.Unavailable("$key: ${e.message.orEmpty().lineSequence().first()}").left()
    }

    private fun nonce() = UUID.randomUUID().toString()
}
