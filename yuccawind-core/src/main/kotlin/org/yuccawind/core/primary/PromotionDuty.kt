package org.yuccawind.core.primary

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.yuccawind.core.port.DecisionLog
import org.yuccawind.core.time.SuspensionDetector

/** Time that a claim lasts; bounds how long a dead holder keeps others from acting. */
private val CLAIM_TTL = 3.seconds

/** Time that a claim must have left for one order: the limit of its call and a margin. */
private val TIME_FOR_ORDER = 1_200.milliseconds

/**
 * This instance's claim to the duty of changing primaries, for all services. It is taken when a
 * change is needed and kept while changes go on, so a calm fleet makes no calls for it.
 */
class PromotionDuty(
    private val leases: DutyLeases,
    private val suspensions: SuspensionDetector,
    private val log: DecisionLog
) {
    private val mutex = Mutex()
    private var claim: DutyClaim? = null

    /** A claim with enough time left for one order; null when another instance has the duty. */
    suspend fun ensure(): DutyClaim? = mutex.withLock {
        claim?.takeIf(::hasTime)?.let { return it }
        claim = claim?.takeIf(::isValid)?.let { leases.renew(it) }
        claim?.takeIf(::hasTime)?.let { return it }
        claim = null
        when (val outcome = leases.claim(CLAIM_TTL)) {
            is ClaimOutcome.Claimed -> {
                log.record("duty_claimed", "token" to outcome.claim.token)
                claim = outcome.claim
            }

            is ClaimOutcome.HeldBy -> log.record("duty_held", "holder" to outcome.holder)

            is ClaimOutcome.Unavailable -> log.record("duty_refused", "reason" to outcome.detail)
        }
        claim
    }

    /** True while [claim] has not ended, as far as this instance's clock can tell. */
    fun isValid(claim: DutyClaim): Boolean {
        val confirmedAt = claim.validUntil - claim.ttl
        return claim.validUntil.hasNotPassedNow() && confirmedAt >= suspensions.resumedAt()
    }

    /**
     * Gives [used] a higher token. An order under the present one may still be carried out, and
     * one for another server under the same token would not keep it from that.
     */
    suspend fun renumber(used: DutyClaim) = mutex.withLock {
        if (claim?.token != used.token) return@withLock
        claim = leases.renumber(used)
        log.record("duty_renumbered", "before" to used.token, "token" to claim?.token)
    }

    /** Gives up [refused], whose token the platform no longer accepts. */
    suspend fun drop(refused: DutyClaim) = mutex.withLock {
        if (claim?.token == refused.token) claim = null
        log.record("duty_lost", "token" to refused.token)
        leases.release(refused)
    }

    /** Gives the duty back, so that another instance need not wait for the lease's end. */
    suspend fun release() = mutex.withLock {
        claim?.let { leases.release(it) }
        claim = null
    }

    private fun hasTime(claim: DutyClaim) =
        isValid(claim) && -claim.validUntil.elapsedNow() >= TIME_FOR_ORDER
}
