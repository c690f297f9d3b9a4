package org.yuccawind.core.primary

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.group.GroupServer
import org.yuccawind.core.group.ServerGroup
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.port.DecisionLog

/** Delay before an unanswered promotion order is retried. */
private val ORDER_RETRY_DELAY = 100.milliseconds

/** Time for a promoted server to become primary: twice what the platform usually takes. */
private val TAKEOVER_TIMEOUT = 1_500.milliseconds

/** Interval between probes for the new primary. */
private val PROBE_INTERVAL = 30.milliseconds

/** Orders promotions from the platform and waits until they have taken effect. */
internal class PromotionSender(
    private val leaseHolder: PromotionLeaseHolder,
    private val orders: PrimaryOrders,
    private val log: DecisionLog
) {
    private val unanswered = HashMap<ServiceName, BackendServerName>()

    /**
     * Returns the server of [service] whose promotion this instance has ordered without an answer,
     * so that it may still be carried out; null if there is none.
     */
    fun unansweredOrder(service: ServiceName): BackendServerName? = unanswered[service]

    /**
     * Has [successor] promoted under [lease]. Returns true once it is the primary. After false the
     * promotion may still be carried out.
     *
     * The next order has a higher token if this one failed, or if a copy of it got no answer:
     * carried out after another server was promoted, it would take the lead back.
     */
    suspend fun promote(
        group: ServerGroup,
        successor: GroupServer,
        lease: PromotionLease
    ): Boolean {
        val isPromoted = order(group, successor.name, lease)
        val hadNoAnswer = group.service in unanswered
        if (isPromoted) unanswered.remove(group.service)
        if (!isPromoted || hadNoAnswer) leaseHolder.raiseToken(lease)
        return isPromoted
    }

    /**
     * Makes earlier orders for [group] void by ordering the promotion of [primary], which leads
     * already, under [lease], and waits until those being carried out have taken effect. Returns
     * true if [primary] leads afterwards and no copy of this order is outstanding.
     */
    suspend fun fence(group: ServerGroup, primary: GroupServer, lease: PromotionLease): Boolean {
        val outcome = orders.promote(group.service, primary.name, lease.token)
        log.record(
            "earlier_orders_fenced",
            "service" to group.service,
            "primary" to primary.name,
            "token" to lease.token,
            "outcome" to outcome
        )
        when (outcome) {
            OrderOutcome.Accepted -> delay(TAKEOVER_TIMEOUT)
            is OrderOutcome.Refused -> leaseHolder.discard(lease)
            is OrderOutcome.NoAnswer -> leaseHolder.raiseToken(lease)
            is OrderOutcome.Unavailable -> Unit
        }
        return outcome == OrderOutcome.Accepted && group.probeLeader() && group.leader === primary
    }

    private suspend fun order(
        group: ServerGroup,
        name: BackendServerName,
        lease: PromotionLease
    ): Boolean {
        while (leaseHolder.isValid(lease)) {
            val outcome = orders.promote(group.service, name, lease.token)
            log.record(
                "promotion_ordered",
                "service" to group.service,
                "server" to name,
                "token" to lease.token,
                "outcome" to outcome
            )
            when (outcome) {
                OrderOutcome.Accepted -> return awaitLeadership(group, name)

                is OrderOutcome.Refused -> {
                    leaseHolder.discard(lease)
                    return false
                }

                is OrderOutcome.NoAnswer -> {
                    unanswered[group.service] = name
                    delay(ORDER_RETRY_DELAY)
                }

                is OrderOutcome.Unavailable -> delay(ORDER_RETRY_DELAY)
            }
        }
        return false
    }

    private suspend fun awaitLeadership(group: ServerGroup, name: BackendServerName): Boolean =
        withTimeoutOrNull(TAKEOVER_TIMEOUT) {
            while (group.leader?.name != name || !group.probeLeader()) delay(PROBE_INTERVAL)
            true
        } ?: false
}
