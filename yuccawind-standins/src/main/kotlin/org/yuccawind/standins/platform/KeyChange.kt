package org.yuccawind.standins.platform

import org.yuccawind.core.port.StoredValue

/**
 * An atomic change of several keys.
 *
 * @property expected required version of each key; 0 if the key must be absent
 * @property puts values to write
 * @property deletes keys to remove
 */
data class KeyChange(
    val expected: Map<String, Long>,
    val puts: Map<String, String>,
    val deletes: Set<String> = emptySet()
)

/**
 * Changes under a prefix.
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
    /** True if anything changed. */
    val hasChanges get() = written.isNotEmpty() || deleted.isNotEmpty()
}
