package org.yuccawind.core.transaction

import org.yuccawind.core.model.InstanceId

/**
 * Identifies an open transaction and its owner, so that any instance can forward to the owner.
 *
 * @property owner instance that holds the connection
 * @property id identifier, unique on the owner
 */
data class TransactionHandle(val owner: InstanceId, val id: String) {
    override fun toString() = "$owner:$id"

    companion object {
        /** Parses the format of [toString]; null if [text] is malformed. */
        fun parse(text: String): TransactionHandle? {
            val owner = text.substringBeforeLast(':', "")
            val id = text.substringAfterLast(':')
            return if (owner.isEmpty() || id.isEmpty()) {
                null
            } else {
                TransactionHandle(InstanceId(owner), id)
            }
        }
    }
}
