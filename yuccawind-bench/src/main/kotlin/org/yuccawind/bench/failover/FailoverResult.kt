package org.yuccawind.bench.failover

/**
 * Result of one failover run.
 *
 * @property gapMs longest time without an acknowledged write in milliseconds
 * @property acknowledged number of acknowledged writes
 * @property refused number of writes refused without execution
 * @property lost acknowledged writes missing from the final state
 * @property doubled duplicates in the final state, plus refused writes that are present
 * @property falsePromotions promotions beyond those that the fault requires
 * @property readsInGap reads served while writes were stalled
 */
internal data class FailoverResult(
    val gapMs: Long,
    val acknowledged: Int,
    val refused: Int,
    val lost: Int,
    val doubled: Int,
    val falsePromotions: Long,
    val readsInGap: Int
) {
    override fun toString() = "gap_ms=$gapMs acknowledged=$acknowledged refused=$refused " +
        "lost=$lost doubled=$doubled false_promotions=$falsePromotions reads_in_gap=$readsInGap"
}
