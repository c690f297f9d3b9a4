package org.yuccawind.bench.cluster

import java.io.File
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val MS_PER_TICK = 10L
private const val BYTES_PER_PAGE = 4_096L
private const val USER_TICKS_FIELD = 11
private const val SYSTEM_TICKS_FIELD = 12
private const val PAGES_FIELD = 21

/**
 * CPU and memory usage of a process.
 *
 * @property cpuTime CPU time since process start, with a resolution of 10 ms
 * @property residentBytes resident memory in bytes
 */
data class ProcessUsage(val cpuTime: Duration, val residentBytes: Long) {
    companion object {
        /** Reads the current usage of the process [id], which must be running. */
        fun of(id: Int): ProcessUsage {
            // The command name, field 2, is in parentheses and may contain spaces.
            val fields = File("/proc/$id/stat").readText().substringAfterLast(") ").split(' ')
            val ticks = fields[USER_TICKS_FIELD].toLong() + fields[SYSTEM_TICKS_FIELD].toLong()
            return ProcessUsage(
                (ticks * MS_PER_TICK).milliseconds,
                fields[PAGES_FIELD].toLong() * BYTES_PER_PAGE
            )
        }
    }
}
