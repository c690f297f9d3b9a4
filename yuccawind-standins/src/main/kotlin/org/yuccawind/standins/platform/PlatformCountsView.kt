package org.yuccawind.standins.platform

import kotlinx.serialization.Serializable

/** A serializable snapshot of [PlatformCounts]. */
@Serializable
data class PlatformCountsView(val reads: Long, val writes: Long, val watches: Long) {
    companion object {
        /** Takes a snapshot of [counts]. */
        fun of(counts: PlatformCounts) =
            PlatformCountsView(counts.reads.sum(), counts.writes.sum(), counts.watches.sum())
    }
}
