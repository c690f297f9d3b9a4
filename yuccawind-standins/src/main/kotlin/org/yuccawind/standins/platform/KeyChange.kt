package org.yuccawind.standins.platform

import org.yuccawind.core.port.StoredValue

/**
 * A change of several keys at once.
 *
 * @property expected version that each key must have; 0 for absent
 * @property puts values to write
 * @property deletes keys to remove
 */
data class KeyChange(
    val expected: Map<String, Long>,
    val puts: Map<String, String>,
    val deletes: Set<String> = emptySet()
)

/**
 * What changed under a prefix.
 *
 * @property version version of the store
 * @property written values written
 * @property deleted keys removed
 */
data class KeyChanges(
    val version: Long,
    val written: List<StoredValue>,
    val deleted: List<String>
) {
    /** True when anything changed. */
    val isAny get() = written.isNotEmpty() || deleted.isNotEmpty()
}
