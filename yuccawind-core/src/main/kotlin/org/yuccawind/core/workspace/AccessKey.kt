package org.yuccawind.core.workspace

import java.security.MessageDigest

/** Number of bytes of the digest that stand for a key in logs. */
private const val DIGEST_BYTES = 4

/**
 * Key by which a client identifies its workspace. Its text representation is a short digest, so
 * that the key itself reaches no log, metric or message.
 */
class AccessKey(private val secret: String) {
    override fun equals(other: Any?) = other is AccessKey && other.secret == secret

    override fun hashCode() = secret.hashCode()

    override fun toString(): String = MessageDigest.getInstance("SHA-256")
        .digest(secret.toByteArray())
        .take(DIGEST_BYTES)
        .joinToString("") { "%02x".format(it) }
}
