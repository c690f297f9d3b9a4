package org.yuccawind.core.wire

import kotlinx.serialization.Serializable
import org.yuccawind.core.port.StoredValue

/**
 * Wire format of a compare-and-swap.
 *
 * @property key key to write
 * @property expected version that the key must have; 0 if the key must be absent
 * @property value new value
 */
@Serializable
data class SwapCall(val key: String, val expected: Long, val value: String)

/**
 * Reply to a compare-and-swap.
 *
 * @property swapped true if the value was written
 * @property version version of the write; 0 if the value was not written
 * @property current stored value if the value was not written; null if the key is absent
 */
@Serializable
data class SwapReply(val swapped: Boolean, val version: Long = 0, val current: StoredValue? = null)

/**
 * Wire format of a get, list or watch call.
 *
 * @property key key or prefix
 * @property version for a watch, the version after which a change ends the wait; otherwise 0
 */
@Serializable
data class KeyQuery(val key: String, val version: Long = 0)

/** Wire format of a reply of the platform; [value] is null for a get of an absent key. */
@Serializable
data class PlatformReply<T>(val value: T)
