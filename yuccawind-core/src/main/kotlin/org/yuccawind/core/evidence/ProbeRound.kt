package org.yuccawind.core.evidence

import kotlin.time.ComparableTimeMark
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServerStatus

/**
 * The answers received in one round of status probes.
 *
 * @property startedAt when the first probe was sent
 * @property answers the answers received so far, by server
 */
data class ProbeRound(
    val startedAt: ComparableTimeMark,
    val answers: Map<BackendServerName, ServerStatus>
) {
    /**
     * Returns the certificate of this round, or null unless at least [majority] servers, including
     * a primary, reported the same fence as that primary.
     */
    fun certificate(majority: Int): Certificate? = answers.entries
        .filter { it.value.isPrimary }
        .firstOrNull { primary -> countFencedAt(primary.value.fence) >= majority }
        ?.let { Certificate(it.key, it.value.end, startedAt) }

    private fun countFencedAt(fence: Long) = answers.values.count { it.fence == fence }
}
