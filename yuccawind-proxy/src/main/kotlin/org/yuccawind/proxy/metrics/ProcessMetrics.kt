package org.yuccawind.proxy.metrics

import com.sun.management.OperatingSystemMXBean
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.lang.management.ManagementFactory

private const val NANOS_PER_SECOND = 1e9

/** Metrics of CPU time, heap and threads of this process. */
object ProcessMetrics {
    /** Adds the metrics to [registry]. */
    fun register(registry: PrometheusRegistry) {
        val system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean::class.java)
        val memory = ManagementFactory.getMemoryMXBean()
        CounterWithCallback.builder()
            .name("yuccawind_process_cpu_seconds_total")
            .help("Processor time of the process in seconds.")
            .callback { it.call(system.processCpuTime / NANOS_PER_SECOND) }
            .register(registry)
        registerGauge(registry, "yuccawind_process_heap_bytes", "Heap in use, in bytes.") {
            it.call(memory.heapMemoryUsage.used.toDouble())
        }
        registerGauge(registry, "yuccawind_process_threads", "Threads alive.") {
            it.call(ManagementFactory.getThreadMXBean().threadCount.toDouble())
        }
    }
}
