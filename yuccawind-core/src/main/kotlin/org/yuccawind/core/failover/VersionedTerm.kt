package org.yuccawind.core.failover

/**
 * A term record with its version in the platform.
 *
 * @property record the record
 * @property version expected version of the next compare-and-swap
 */
data class VersionedTerm(val record: TermRecord, val version: Long)
