package org.yuccawind.bench.load

/** Schedule by which a worker sends statements. */
sealed interface LoadModel {
    /** Sends the next statement as soon as the previous one completes. */
    data object ClosedLoop : LoadModel

    /** Schedules [perSecond] statements per second over all workers, independent of latency. */
    data class FixedRate(val perSecond: Int) : LoadModel
}
