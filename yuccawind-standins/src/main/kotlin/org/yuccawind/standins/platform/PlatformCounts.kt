package org.yuccawind.standins.platform

import java.util.concurrent.atomic.LongAdder

/**
 * Numbers of calls received by the platform stand-in.
 *
 * @property reads gets, lists and reads of the list of instances
 * @property writes compare-and-swaps
 * @property watches watch calls
 */
class PlatformCounts(
    val reads: LongAdder = LongAdder(),
    val writes: LongAdder = LongAdder(),
    val watches: LongAdder = LongAdder()
)
