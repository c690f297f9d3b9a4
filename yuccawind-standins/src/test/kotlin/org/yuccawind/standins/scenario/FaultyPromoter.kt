package org.yuccawind.standins.scenario

import kotlinx.serialization.json.Json
import org.yuccawind.core.failover.PromotionPhase
import org.yuccawind.core.failover.TermRecord
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServerStatus
import org.yuccawind.core.wire.SwapCall

/** The defect of a [FaultyPromoter]. */
enum class PromoterFlaw {
    CHOOSES_BY_POSITION,
    NAMES_WITHOUT_COMPARE_AND_SWAP,
    FENCE_ALLOWS_REPLICATION
}

/** A promoter with one defect, used to verify that the checks detect it. */
class FaultyPromoter(private val group: PromotionTestGroup, private val flaw: PromoterFlaw) {
    private val terms = group.terms("broken")

    suspend fun take(): PromotionPhase.Taken =
        terms.takeTermAfter(terms.read().getOrNull()).getOrNull()!!
            .let { PromotionPhase.Taken(it.record.term, it.version) }

    suspend fun fence(term: Long, members: List<Int>): Map<BackendServerName, ServerStatus> =
        members.associate { index ->
            val status = if (flaw == PromoterFlaw.FENCE_ALLOWS_REPLICATION) {
                group.nodes[index].status().copy(fence = term)
            } else {
                group.nodes[index].fence(term)
            }
            group.names[index] to status
        }

    suspend fun nameAndPromote(
        taken: PromotionPhase.Taken,
        answers: Map<BackendServerName, ServerStatus>
    ) {
        val primary = choose(answers)
        name(taken, primary)
        group.servers.getValue(primary).promote(taken.term)
    }

    private fun choose(answers: Map<BackendServerName, ServerStatus>): BackendServerName =
        if (flaw == PromoterFlaw.CHOOSES_BY_POSITION) {
            answers.maxBy { it.value.end.position }.key
        } else {
            answers.maxBy { it.value.end }.key
        }

    private suspend fun name(taken: PromotionPhase.Taken, primary: BackendServerName) {
        if (flaw != PromoterFlaw.NAMES_WITHOUT_COMPARE_AND_SWAP) {
            terms.name(taken.term, taken.version, primary)
            return
        }
        val record = TermRecord(taken.term, primary, "broken", "broken")
        val text = Json.encodeToString(TermRecord.serializer(), record)
        val current = group.platform.get("terms/pairing")?.version ?: 0
        group.platform.swap(SwapCall("terms/pairing", current, text))
    }
}
