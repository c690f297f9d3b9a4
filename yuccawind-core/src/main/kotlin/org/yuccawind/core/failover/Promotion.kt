package org.yuccawind.core.failover

import org.yuccawind.core.port.DecisionLog

/**
 * One attempt to change the primary of a service.
 *
 * Safety depends on terms and majorities only. If a promoter is paused at any step and resumes
 * later, its compare-and-swap fails or its servers are fenced at a higher term.
 *
 * @property terms the term record of the service in the platform
 * @property group the candidate servers
 * @property log receives a line for each phase
 * @property knownTerm term whose primary is to be replaced. A record with a later term is the
 *   attempt of another promoter, which this one completes, waits for or supersedes. If null, the
 *   next term is always taken.
 * @property supersedableVersion version of another promoter's record that was given time to
 *   complete and may now be superseded; null if there is none
 */
class Promotion(
    private val terms: TermRecords,
    private val group: PromotionGroup,
    private val log: DecisionLog,
    private val knownTerm: Long? = null,
    private val supersedableVersion: Long? = null
) {
    /** Runs the attempt until it is [PromotionPhase.Done] or [PromotionPhase.Abandoned]. */
    suspend fun run(): PromotionPhase {
        var phase: PromotionPhase = PromotionPhase.Start
        while (phase !is PromotionPhase.Done && phase !is PromotionPhase.Abandoned) {
            phase = step(phase)
            log.record("promotion", "service" to terms.service, "phase" to phase)
        }
        return phase
    }

    /** Executes the step that follows [phase] and returns the phase reached. */
    suspend fun step(phase: PromotionPhase): PromotionPhase = when (phase) {
        is PromotionPhase.Start -> read()
        is PromotionPhase.Read -> take(phase)
        is PromotionPhase.Taken -> fence(phase)
        is PromotionPhase.Fenced -> name(phase)
        is PromotionPhase.Named -> promote(phase)
        is PromotionPhase.Done, is PromotionPhase.Abandoned -> phase
    }

    private suspend fun read(): PromotionPhase =
        terms.read().fold({ PromotionPhase.Abandoned(it.detail) }, { continueFrom(it) })

    private suspend fun continueFrom(current: VersionedTerm?): PromotionPhase {
        val isOtherAttempt = current != null && knownTerm != null && current.record.term > knownTerm
        return if (isOtherAttempt) resolveOtherAttempt(current) else PromotionPhase.Read(current)
    }

    private suspend fun resolveOtherAttempt(current: VersionedTerm): PromotionPhase = when {
        isNamedButNotPromoted(current.record) -> namedPhase(current.record)
        current.version == supersedableVersion -> PromotionPhase.Read(current)
        else -> PromotionPhase.Abandoned("${current.record.promoter} promotes", current.version)
    }

    /** Returns true if the record names a primary that was not promoted yet. */
    private suspend fun isNamedButNotPromoted(record: TermRecord): Boolean {
        val server = group.servers[record.primary] ?: return false
        val status = server.status().getOrNull() ?: return false
        return status.fence <= record.term && !(status.isPrimary && status.fence == record.term)
    }

    private fun namedPhase(record: TermRecord) =
        PromotionPhase.Named(record.term, checkNotNull(record.primary))

    private suspend fun take(phase: PromotionPhase.Read): PromotionPhase =
        terms.takeTermAfter(phase.current).fold(
            { PromotionPhase.Abandoned(it.detail) },
            { PromotionPhase.Taken(it.record.term, it.version) }
        )

    private suspend fun fence(phase: PromotionPhase.Taken): PromotionPhase {
        val answers = Fencing(group).fence(phase.term)
        if (answers.size < group.majority) {
            return PromotionPhase.Abandoned("fenced ${answers.size} of ${group.majority}")
        }
        return PromotionPhase.Fenced(phase.term, phase.version, answers)
    }

    private suspend fun name(phase: PromotionPhase.Fenced): PromotionPhase {
        val primary = PromotionChoice.choose(phase.answers, group.preferred)
        log.record(
            "primary_choice",
            "service" to terms.service,
            "term" to phase.term,
            "server" to primary,
            "reason" to "last_log_end",
            "ends" to phase.answers.entries.joinToString(",") { "${it.key}:${it.value.end}" }
        )
        return terms.name(phase.term, phase.version, primary).fold(
            { PromotionPhase.Abandoned(it.detail) },
            { PromotionPhase.Named(phase.term, primary) }
        )
    }

    private suspend fun promote(phase: PromotionPhase.Named): PromotionPhase {
        val server = group.servers[phase.primary]
            ?: return PromotionPhase.Abandoned("${phase.primary} left the group")
        return server.promote(phase.term).fold(
            { PromotionPhase.Abandoned(it.detail) },
            { PromotionPhase.Done(phase.term, phase.primary) }
        )
    }
}
