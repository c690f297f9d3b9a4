package org.yuccawind.bench.slopes

import org.yuccawind.bench.result.Figure

/**
 * Resources that one instance uses for control traffic while there are no callers.
 *
 * @property cpuPercent CPU time in percent of a core
 * @property memoryMb resident memory in mebibytes
 * @property platformBytes bytes per second to and from the platform
 * @property peerBytes bytes per second to and from other instances
 * @property backendBytes bytes per second to and from backend servers
 * @property platformCalls calls to the platform per second; a pending watch counts once
 */
internal data class InstanceCost(
    val cpuPercent: Double,
    val memoryMb: Double,
    val platformBytes: Double,
    val peerBytes: Double,
    val backendBytes: Double,
    val platformCalls: Double
) {
    /** Returns the costs as figures whose names end in [name]. */
    fun figures(name: String) = listOf(
        Figure("cpu_percent_$name", cpuPercent),
        Figure("memory_mb_$name", memoryMb),
        Figure("platform_bytes_per_s_$name", platformBytes),
        Figure("peer_bytes_per_s_$name", peerBytes),
        Figure("backend_bytes_per_s_$name", backendBytes),
        Figure("platform_calls_per_s_$name", platformCalls)
    )

    /** Returns the added cost per unit, where this point has [count] units more than [base]. */
    fun slopeFrom(base: InstanceCost, count: Int) = InstanceCost(
        (cpuPercent - base.cpuPercent) / count,
        (memoryMb - base.memoryMb) / count,
        (platformBytes - base.platformBytes) / count,
        (peerBytes - base.peerBytes) / count,
        (backendBytes - base.backendBytes) / count,
        (platformCalls - base.platformCalls) / count
    )
}
