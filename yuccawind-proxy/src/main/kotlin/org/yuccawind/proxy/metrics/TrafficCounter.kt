package org.yuccawind.proxy.metrics

/** Counts the bytes sent and received on one channel. */
interface TrafficCounter {
    /** Counts [bytes] sent. */
    fun countSent(bytes: Int)

    /** Counts [bytes] received. */
    fun countReceived(bytes: Int)

    /** Ignores all traffic. */
    data object None : TrafficCounter {
        override fun countSent(bytes: Int) = Unit

        override fun countReceived(bytes: Int) = Unit
    }
}
