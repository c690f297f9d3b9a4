package org.yuccawind.core.primary

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.yuccawind.core.port.DecisionLog
import org.yuccawind.core.time.SuspensionDetector

/** Lifetime of the lease; bounds how long a failed holder keeps others from acting. */
private val LEASE_TTL = 3.seconds

/** Remaining validity required for one order: the timeout of its call and a margin. */
private val MIN_TIME_FOR_ORDER = 1_200.milliseconds

/**
 * Holds this instance's lease for changing primaries, one for all services. The lease is acquired
 * when a change is needed and kept while changes continue, so no calls are made otherwise.
 */
class PromotionLeaseHolder(
    private val store: PromotionLeaseStore,
    private val suspensions: SuspensionDetector,
    private val log: DecisionLog
) {
    private val mutex = Mutex()
    private var lease: PromotionLease? = null

    /**
     * Returns a lease valid long enough for one order, renewing or requesting it if needed. Returns
     * null if another instance holds it or the store does not answer.
     */
    suspend fun acquire(): PromotionLease? = mutex.withLock {
        lease?.takeIf(::hasTimeForOrder)?.let { return it }
        lease = lease?.takeIf(::isUnexpired)?.let { store.renew(it) }
        lease?.takeIf(::hasTimeForOrder)?.let { return it }
        lease = null
        when (val outcome = store.claim(LEASE_TTL)) {
            is ClaimOutcome.Claimed -> {
                val claim = outcome.claim
                log.record("duty_claimed", "token" to claim.token, "lease" to claim.leaseId)
                lease = claim
            }

            is ClaimOutcome.HeldBy -> log.record("duty_held", "holder" to outcome.holder)

            is ClaimOutcome.Unavailable -> log.record("duty_refused", "reason" to outcome.detail)
        }
        lease
    }

    /**
     * Returns true if this instance still holds [used] for long enough for one order, renewing it
     * if needed.
     */
    suspend fun extend(used: PromotionLease): Boolean = mutex.withLock {
        val held = lease?.takeIf { it.isSameAs(used) && isUnexpired(it) }
        if (held != null && !hasTimeForOrder(held)) lease = store.renew(held)
        held != null && lease?.let(::hasTimeForOrder) == true
    }

    /**
     * Returns true if this instance still holds [used], which another change may have renewed or
     * given up since: it has not expired by this instance's clock, the store has not lost it, and
     * the process was not suspended since its last renewal.
     */
    fun isValid(used: PromotionLease): Boolean =
        lease?.let { it.isSameAs(used) && isUnexpired(it) } == true

    /**
     * Raises the token of [used]. An earlier order with the current token may still be carried out;
     * only an order with a higher token prevents this.
     */
    suspend fun raiseToken(used: PromotionLease) = mutex.withLock {
        if (lease?.token != used.token) return@withLock
        lease = store.raiseToken(used)
        log.record("duty_renumbered", "before" to used.token, "token" to lease?.token)
    }

    /** Discards [refused], whose token the platform no longer accepts. */
    suspend fun discard(refused: PromotionLease) = mutex.withLock {
        if (lease?.isSameAs(refused) == true) lease = null
        log.record("duty_lost", "token" to refused.token)
        store.release(refused)
    }

    /** Releases the lease, so that another instance need not wait until it expires. */
    suspend fun release() = mutex.withLock {
        val held = lease
        lease = null
        if (held != null) store.release(held)
    }

    private fun isUnexpired(lease: PromotionLease): Boolean {
        val confirmedAt = lease.validUntil - lease.ttl
        return lease.validUntil.hasNotPassedNow() &&
            !store.isLost(lease) &&
            confirmedAt >= suspensions.resumedAt()
    }

    private fun hasTimeForOrder(lease: PromotionLease) =
        isUnexpired(lease) && -lease.validUntil.elapsedNow() >= MIN_TIME_FOR_ORDER
}
