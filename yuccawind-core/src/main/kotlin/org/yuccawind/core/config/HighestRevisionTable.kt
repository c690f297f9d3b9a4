package org.yuccawind.core.config

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.port.DecisionLog

/**
 * Record table that keeps the highest revision received of each record, whatever its origin.
 *
 * @property log records each record installed or refused
 * @property onInstalled called for each installed record, in order of revision per service; runs
 *   under the lock of the table
 */
class HighestRevisionTable(
    private val log: DecisionLog,
    private val onInstalled: (ServiceName, ServiceRecord) -> Unit = { _, _ -> }
) : RecordTable {
    private val lock = ReentrantLock()
    private val known = ConcurrentHashMap<ServiceName, ServiceRecord>()

    override fun records(): Map<ServiceName, ServiceRecord> = known.toMap()

    override fun install(
        service: ServiceName,
        record: ServiceRecord,
        origin: RecordOrigin
    ): Boolean = lock.withLock {
        val current = known[service]
        if (current != null && current.revision >= record.revision) {
            if (current.revision > record.revision) log("config_refused", service, record, origin)
            return false
        }
        known[service] = record
        log("config_installed", service, record, origin)
        onInstalled(service, record)
        true
    }

    private fun log(
        event: String,
        service: ServiceName,
        record: ServiceRecord,
        origin: RecordOrigin
    ) = log.record(
        event,
        "service" to service,
        "revision" to record.revision,
        "in_force" to known[service]?.revision,
        "deleted" to (record.config == null),
        "origin" to origin
    )
}
