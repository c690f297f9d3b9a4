package org.yuccawind.core.config

import org.yuccawind.core.model.ServiceName

/** Service records in force on one instance. */
interface RecordTable {
    /** Returns the records in force, including those of deleted services. */
    fun records(): Map<ServiceName, ServiceRecord>

    /** Installs [record] of [service]; returns true if it came into force with this call. */
    fun install(service: ServiceName, record: ServiceRecord, origin: RecordOrigin): Boolean
}

/** Source from which an instance received a record. */
enum class RecordOrigin { PLATFORM, PEER }
