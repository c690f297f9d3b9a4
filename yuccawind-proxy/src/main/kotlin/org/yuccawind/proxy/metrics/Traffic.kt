package org.yuccawind.proxy.metrics

/** Counts the bytes of one channel. */
interface Traffic {
    /** Counts [bytes] that left. */
    fun sent(bytes: Int)

    /** Counts [bytes] that arrived. */
    fun received(bytes: Int)

    /** Counts nothing. */
    data object None : Traffic {
        override fun sent(bytes: Int) = Unit

        override fun received(bytes: Int) = Unit
    }
}
