package org.yuccawind.standins.wire

/**
 * Faults in the answers of a [WireDatabaseServer] to statements, its clients' and the proxy's own.
 *
 * @property seed seed of the random choices
 * @property repeatedShare share of answers that are sent twice
 * @property repeatDelayMs delay of the second answer in milliseconds; 0 sends both together
 * @property cutShare share of answers that are cut off half-way, followed by a close
 * @property busyShare share of the statements that need a slot that are refused with BUSY
 * @property rowTails texts of which one is appended to each row; characters are bytes
 */
data class AnswerFaults(
    val seed: Int = 1,
    val repeatedShare: Double = 0.0,
    val repeatDelayMs: LongRange = 0L..0L,
    val cutShare: Double = 0.0,
    val busyShare: Double = 0.0,
    val rowTails: List<String> = emptyList()
)
