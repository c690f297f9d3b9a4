package org.yuccawind.bench.config

private const val FAULT_FREE_LIMIT_MS = 2_000L
private const val FAULT_LIMIT_MS = 5_000L

/**
 * Result of a configuration run.
 *
 * @property faultFreeMs times in ms until a change was in force everywhere, without faults
 * @property faultMs times in ms from the end of a fault until all changes were in force
 * @property reverts number of times that an instance went back to a lower revision
 * @property lost accepted changes that are missing or duplicated in the platform's history
 */
internal data class ConfigResult(
    val faultFreeMs: List<Long>,
    val faultMs: List<Long>,
    val reverts: Int,
    val lost: Int
) {
    /** True if no change was reverted or lost and the times are within 2 s, or 5 s after faults. */
    val meetsLimits: Boolean
        get() = reverts == 0 &&
            lost == 0 &&
            faultFreeMs.max() <= FAULT_FREE_LIMIT_MS &&
            faultMs.max() <= FAULT_LIMIT_MS

    override fun toString(): String {
        val all = (faultFreeMs + faultMs).sorted()
        return "in_force_p50_ms=${all[(all.size - 1) / 2]} in_force_max_ms=${all.last()} " +
            "reverts=$reverts lost=$lost"
    }
}
