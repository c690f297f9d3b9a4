package org.yuccawind.config

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.yuccawind.core.config.Acknowledge
import org.yuccawind.core.config.BackendServerConfig
import org.yuccawind.core.config.ReadKind
import org.yuccawind.core.config.ServiceConfig
import org.yuccawind.core.model.ServiceName

private val DEFAULT_DEADLINE = 5_000.milliseconds
private const val DEFAULT_QUEUE_LIMIT = 256
private const val DEFAULT_SLOTS = 2
private const val DEFAULT_CONNECTIONS = 16

/** Builds the configuration of one service. */
@ConfigDsl
class ServiceBuilder internal constructor(private val name: String) {
    private val servers = ArrayList<BackendServerConfig>()
    private val kinds = ArrayList<ReadKind>()

    /** Servers that must store a write before it is acknowledged; a majority by default. */
    var acknowledge = Acknowledge.MAJORITY

    /** Deadline of a request, from 1 ms to 60 s; fractions of 1 ms are dropped; 5 s by default. */
    var deadline: Duration = DEFAULT_DEADLINE

    /** Requests that may queue for a connection to one server; 256 by default. */
    var queueLimit = DEFAULT_QUEUE_LIMIT

    /** Concurrent statements of each backend server that is added later; 2 by default. */
    var slots = DEFAULT_SLOTS

    /** Connections of each backend server that is added later; 16 by default. */
    var connections = DEFAULT_CONNECTIONS

    /** Adds the backend server [name]. */
    fun backendServer(name: String, block: BackendServerBuilder.() -> Unit) {
        servers += BackendServerBuilder(name, slots, connections).apply(block).build()
    }

    /** Adds a kind of read with session consistency and no limit on the age of data. */
    fun readKind(name: String) {
        kinds += ReadKind(name)
    }

    /** Adds a kind of read with data at most [greatestAge] old; zero means the newest data. */
    fun readKind(name: String, greatestAge: Duration) {
        kinds += ReadKind(name, greatestAge.inWholeMilliseconds)
    }

    internal fun build() = ServiceConfig(
        name = ServiceName(name),
        backendServers = servers.toList(),
        readKinds = kinds.ifEmpty { listOf(ReadKind("default")) },
        acknowledge = acknowledge,
        deadlineMs = deadline.inWholeMilliseconds,
        queueLimit = queueLimit
    )
}
