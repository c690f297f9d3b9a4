package org.yuccawind.core.load

import kotlinx.serialization.Serializable

/**
 * Kind of statement whose answer times are compared only with each other: the statements of one
 * route, or the commits.
 */
@JvmInline
@Serializable
value class LoadKind(val value: String) {
    override fun toString() = value

    companion object {
        /** Statements whose kind is not known, and kinds above the number that is told apart. */
        val OTHER = LoadKind("")

        /** Commits of transactions, which wait for the replicas where these are synchronous. */
        val COMMIT = LoadKind("=commit")
    }
}
