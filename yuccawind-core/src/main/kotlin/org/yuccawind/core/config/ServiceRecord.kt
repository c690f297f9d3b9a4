package org.yuccawind.core.config

import kotlinx.serialization.Serializable

/** Maximum number of earlier changes kept in a record; the oldest are dropped first. */
const val HISTORY_LIMIT = 32

/**
 * Versioned record of one service's configuration, as stored in the platform.
 *
 * @property revision revision number, incremented by one with each accepted change; starts at 1
 * @property config configuration; null if the service is deleted
 * @property author operator who made the change
 * @property nonce idempotency key of the change, by which its writer recognizes it after a lost
 *   reply
 * @property changedAtEpochMs wall-clock time of the change in milliseconds, for display only
 * @property digest short hash of the configuration, for operators and audits
 * @property history earlier changes, newest first, at most [HISTORY_LIMIT]
 */
@Serializable
data class ServiceRecord(
    val revision: Long,
    val config: ServiceConfig?,
    val author: String,
    val nonce: String,
    val changedAtEpochMs: Long = 0,
    val digest: String = "",
    val history: List<AcceptedChange> = emptyList()
) {
    /** Returns the change that produced this record, in the format of [history]. */
    fun toAcceptedChange() = AcceptedChange(revision, author, changedAtEpochMs, digest, nonce)

    /** Finds the change with [nonce], the latest or one in [history]; null if there is none. */
    fun findChange(nonce: String): AcceptedChange? =
        if (nonce == this.nonce) toAcceptedChange() else history.find { it.nonce == nonce }

    /** Returns the oldest revision whose change is still in this record. */
    fun oldestKnownRevision(): Long = history.lastOrNull()?.revision ?: revision
}

/**
 * One accepted change of a service record.
 *
 * @property revision revision that the change produced
 * @property author operator who made the change
 * @property changedAtEpochMs wall-clock time in milliseconds, for display only
 * @property digest short hash of the configuration; empty for a deletion
 * @property nonce idempotency key of the change
 */
@Serializable
data class AcceptedChange(
    val revision: Long,
    val author: String,
    val changedAtEpochMs: Long,
    val digest: String,
    val nonce: String
)
