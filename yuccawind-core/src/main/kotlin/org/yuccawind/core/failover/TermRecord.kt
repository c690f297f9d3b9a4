package org.yuccawind.core.failover

import kotlinx.serialization.Serializable
import org.yuccawind.core.model.BackendServerName

/**
 * The record in the platform that names the primary of a service and its term.
 *
 * @property term current term; incremented by each change of primary
 * @property primary server named as primary of the term; null until the promotion has named one
 * @property nonce unique value of the last write, by which its writer recognizes it
 * @property promoter instance that took the term; informational
 */
@Serializable
data class TermRecord(
    val term: Long,
    val primary: BackendServerName?,
    val nonce: String,
    val promoter: String
)
