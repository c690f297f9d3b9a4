package org.yuccawind.proxy.operator

import java.security.MessageDigest

/** The operator key. Compared in constant time and never printed. */
internal class OperatorKey(key: String) {
    private val digest = hash(key)

    /** True if [candidate] equals the key. */
    fun matches(candidate: String?): Boolean =
        MessageDigest.isEqual(digest, hash(candidate.orEmpty()))

    override fun toString() = "OperatorKey"

    // Hashes have equal length, so the comparison time does not reveal the length of the key.
    private fun hash(text: String) = MessageDigest.getInstance("SHA-256").digest(text.toByteArray())
}
