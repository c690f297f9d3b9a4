package org.yuccawind.proxy.metrics

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlin.time.DurationUnit
import org.yuccawind.core.config.RecordAge
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.pool.ConnectionPool
import org.yuccawind.core.service.ServiceDirectory
import org.yuccawind.core.service.ServiceRuntime

private const val MS_PER_SECOND = 1_000.0

/** Gauges that are computed from the services in force at each scrape. */
internal class ServiceGauges(
    private val directory: ServiceDirectory,
    private val recordAge: RecordAge,
    private val epochMs: () -> Long = System::currentTimeMillis
) {
    /** Adds the gauges to [registry]. */
    fun register(registry: PrometheusRegistry) {
        registerRevisions(registry)
        registerConfirmedAge(registry)
        registerEvidenceAge(registry)
        registerServerGauges(registry)
        registerPoolGauges(registry)
    }

    private fun registerRevisions(registry: PrometheusRegistry) {
        registerGauge(
            registry,
            "yuccawind_configuration_revision",
            "Revision in force, by service.",
            "service"
        ) { set ->
            directory.records().forEach { (name, record) ->
                set.call(record.revision.toDouble(), name.value)
            }
        }
        registerGauge(
            registry,
            "yuccawind_configuration_age_seconds",
            "Time since the revision in force was made, in seconds by the wall clock.",
            "service"
        ) { set ->
            directory.records().forEach { (name, record) ->
                if (record.changedAtEpochMs > 0) {
                    set.call((epochMs() - record.changedAtEpochMs) / MS_PER_SECOND, name.value)
                }
            }
        }
    }

    private fun registerConfirmedAge(registry: PrometheusRegistry) = registerGauge(
        registry,
        "yuccawind_configuration_confirmed_age_seconds",
        "Time since the platform is known to have had nothing newer, in seconds."
    ) { set -> recordAge.now()?.let { set.call(it.toDouble(DurationUnit.SECONDS)) } }

    private fun registerEvidenceAge(registry: PrometheusRegistry) = registerGauge(
        registry,
        "yuccawind_evidence_age_seconds",
        "Age of the newest proof that a primary has a majority, in seconds; absent before one.",
        "service"
    ) { set ->
        for (runtime in runtimes()) {
            val since = runtime.context.evidence.newestCertificate()?.since ?: continue
            val age = since.elapsedNow().toDouble(DurationUnit.SECONDS)
            set.call(age, runtime.config.name.value)
        }
    }

    private fun registerServerGauges(registry: PrometheusRegistry) {
        registerGauge(
            registry,
            "yuccawind_backend_open_connections",
            "Connections open at a backend server, of all instances, as it last reported.",
            "service",
            "server"
        ) { set ->
            forEachServer { service, server, runtime ->
                val observation =
                    runtime.context.evidence.observationOf(server) ?: return@forEachServer
                set.call(observation.status.openConnections.toDouble(), service, server.value)
            }
        }
        registerGauge(
            registry,
            "yuccawind_backend_busy_slots",
            "Statements in progress at a backend server, as it last reported.",
            "service",
            "server"
        ) { set ->
            forEachServer { service, server, runtime ->
                val observation =
                    runtime.context.evidence.observationOf(server) ?: return@forEachServer
                set.call(observation.status.busySlots.toDouble(), service, server.value)
            }
        }
    }

    private fun registerPoolGauges(registry: PrometheusRegistry) {
        registerPoolGauge(
            registry,
            "yuccawind_pool_requests_in_progress",
            "Requests of this instance in progress or waiting at a backend server."
        ) { it.load.toDouble() }
        registerPoolGauge(
            registry,
            "yuccawind_queue_requests_waiting",
            "Requests of this instance that wait for a slot of a backend server."
        ) { it.waiting.toDouble() }
        registerPoolGauge(
            registry,
            "yuccawind_queue_expected_wait_seconds",
            "Time that a statement sent now would wait, in seconds."
        ) { it.expectedWait.toDouble(DurationUnit.SECONDS) }
    }

    private fun registerPoolGauge(
        registry: PrometheusRegistry,
        name: String,
        help: String,
        value: (ConnectionPool) -> Double
    ) = registerGauge(registry, name, help, "service", "server") { set ->
        forEachServer { service, server, runtime ->
            val pool = runtime.context.pools[server] ?: return@forEachServer
            set.call(value(pool), service, server.value)
        }
    }

    private fun forEachServer(action: (String, BackendServerName, ServiceRuntime) -> Unit) {
        for (runtime in runtimes()) {
            runtime.config.backendServers.forEach {
                action(runtime.config.name.value, it.name, runtime)
            }
        }
    }

    private fun runtimes() = directory.records().keys.mapNotNull(directory::find)
}

/** Registers a gauge whose values [collect] reports at each scrape. */
internal fun registerGauge(
    registry: PrometheusRegistry,
    name: String,
    help: String,
    vararg labels: String,
    collect: (GaugeWithCallback.Callback) -> Unit
) {
    GaugeWithCallback.builder().name(name).help(help).labelNames(*labels)
        .callback { collect(it) }
        .register(registry)
}
