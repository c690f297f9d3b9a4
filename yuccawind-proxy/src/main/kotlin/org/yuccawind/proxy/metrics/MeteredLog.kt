package org.yuccawind.proxy.metrics

import org.yuccawind.core.failover.PromotionPhase
import org.yuccawind.core.port.DecisionLog

/** Derives metrics from log events and passes the events on to [next]. */
internal class MeteredLog(private val next: DecisionLog, private val metrics: Metrics) :
    DecisionLog {
    override fun record(event: String, vararg fields: Pair<String, Any?>) {
        metrics.recordEvent(event)
        when (event) {
            "read_route" -> recordReadRoute(fields)
            "promotion" -> recordPromotion(fields)
        }
        next.record(event, *fields)
    }

    private fun recordReadRoute(fields: Array<out Pair<String, Any?>>) {
        val accepted = fields.valueOf("accepted") as? Boolean ?: true
        metrics.recordRead(fields.valueOf("role").toString().lowercase(), accepted)
    }

    private fun recordPromotion(fields: Array<out Pair<String, Any?>>) {
        val phase = fields.valueOf("phase") as? PromotionPhase ?: return
        metrics.recordPromotionPhase(phase::class.simpleName.orEmpty().lowercase())
    }

    private fun Array<out Pair<String, Any?>>.valueOf(key: String): Any? =
        firstOrNull { it.first == key }?.second
}
