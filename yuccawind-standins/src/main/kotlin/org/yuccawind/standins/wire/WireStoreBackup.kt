package org.yuccawind.standins.wire

import org.yuccawind.standins.platform.PlatformBackup

/** Content of a [WireStore] at one moment. */
class WireStoreBackup internal constructor(
    internal val model: PlatformBackup,
    internal val nextLease: Long,
    internal val leases: Map<Long, Lease>
) {
    internal class Lease(val ttlMs: Long, val keys: Set<String>)
}
