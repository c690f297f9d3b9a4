package org.yuccawind.core.workspace.limit

import kotlin.time.ComparableTimeMark

/** Gives an instance's share of the limits to keepers. */
interface ShareGiver {
    /** Promises the share of [shard] to [keeper] for one [ShareTerms.TERM] from [now]. */
    fun promise(shard: Int, keeper: String, now: ComparableTimeMark): ShareReply

    /** Takes back promise [serial], which [keeper] uses no more. Returns false for another one. */
    fun release(shard: Int, keeper: String, serial: Long): Boolean

    /** Returns the keeper to which the share of [shard] is promised at [now], or null. */
    fun keeperOf(shard: Int, now: ComparableTimeMark): String?
}

/** Reply to a keeper that wants a share. */
sealed interface ShareReply {
    /** The share is promised; [serial] tells this promise from earlier and later ones. */
    data class Given(val serial: Long) : ShareReply

    /** The share is promised to another [keeper]. */
    data class HeldBy(val keeper: String) : ShareReply

    /** The instance started so recently that a former process may still be bound. */
    data object NotYet : ShareReply
}
