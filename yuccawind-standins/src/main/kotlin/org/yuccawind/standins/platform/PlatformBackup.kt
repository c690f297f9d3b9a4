package org.yuccawind.standins.platform

import org.yuccawind.core.port.StoredValue

/** Content of a [PlatformModel] at one moment. */
class PlatformBackup internal constructor(
    internal val version: Long,
    internal val values: Map<String, StoredValue>,
    internal val deletions: List<Deletion>
)

/** Removal of [key] at [version]. */
internal class Deletion(val key: String, val version: Long)
