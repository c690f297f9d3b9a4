package org.yuccawind.bench.result

import kotlinx.serialization.Serializable

/**
 * Run as stored in the results file, with the environment that it ran in.
 *
 * @property result result of the run
 * @property version yuccawind version
 * @property cores number of cores of the machine
 * @property finishedAtEpochMs end of the run in milliseconds since the Unix epoch
 */
@Serializable
data class SavedRun(
    val result: RunResult,
    val version: String,
    val cores: Int,
    val finishedAtEpochMs: Long
)
