package org.yuccawind.core.port

import arrow.core.Either
import kotlinx.serialization.Serializable
import org.yuccawind.core.model.AvailabilityZone

/** Client of the platform's key-value service and its list of instances. */
interface Platform {
    /** Reads [key]; null if it is absent. */
    suspend fun get(key: String): Either<PlatformError, StoredValue?>

    /** Reads every key that starts with [prefix]. */
    suspend fun list(prefix: String): Either<PlatformError, KeySnapshot>

    /**
     * Writes [value] if the version of [key] is [expected]; 0 means that the key must be absent. A
     * lost reply gives [PlatformError.Unknown]: the caller then reads the key back and compares the
     * nonce to find out whether its write took effect.
     */
    suspend fun compareAndSwap(
        key: String,
        expected: Long,
        value: String
    ): Either<PlatformError, SwapResult>

    /**
     * Waits for a change under [prefix] after [version] and returns the keys. Also returns when
     * the platform ends the long poll without a change.
     */
    suspend fun watch(prefix: String, version: Long): Either<PlatformError, KeySnapshot>

    /** Reads the platform's list of live and leaving instances; the list may be out of date. */
    suspend fun instances(): Either<PlatformError, List<InstanceEntry>>
}

/**
 * A value in the platform's key-value service.
 *
 * @property key key of the value
 * @property value text of at most one megabyte
 * @property version version of the last write to the key; versions increase across the whole store
 */
@Serializable
data class StoredValue(val key: String, val value: String, val version: Long)

/**
 * Consistent snapshot of the keys under a prefix.
 *
 * @property version version of the store at the snapshot
 * @property values values in key order
 */
@Serializable
data class KeySnapshot(val version: Long, val values: List<StoredValue>)

/** Result of a compare-and-swap to which the platform replied. */
sealed interface SwapResult {
    /** The value was written under [version]. */
    data class Swapped(val version: Long) : SwapResult

    /** The key's version differed; [current] is the stored value, null if the key is absent. */
    data class Conflict(val current: StoredValue?) : SwapResult
}

/** Reason why a call to the platform failed. */
sealed interface PlatformError {
    /** One-line description for the logs. */
    val detail: String

    /** The call had no effect. */
    data class Unavailable(override val detail: String) : PlatformError

    /** The outcome is unknown: the call may have taken effect. */
    data class Unknown(override val detail: String) : PlatformError
}

/**
 * An entry of the platform's list of instances.
 *
 * @property name name of the instance or backend server
 * @property zone availability zone of the instance or backend server
 * @property peerAddress IP address and port for calls from peers; empty for backend servers
 * @property leaving true once the platform has announced its shutdown
 */
@Serializable
data class InstanceEntry(
    val name: String,
    val zone: AvailabilityZone,
    val peerAddress: String = "",
    val leaving: Boolean = false
)
