package org.yuccawind.core.primary

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/** Leases in the platform's store that make one instance the only one to act. */
interface DutyLeases {
    /** Claims the duty for at least [ttl], counted from before the claim was sent. */
    suspend fun claim(ttl: Duration): ClaimOutcome

    /** Extends [claim]; null when it has ended or the store did not say. */
    suspend fun renew(claim: DutyClaim): DutyClaim?

    /** [claim] with a higher token; null when it has ended or the store did not say. */
    suspend fun renumber(claim: DutyClaim): DutyClaim?

    /** Ends [claim] before its time. */
    suspend fun release(claim: DutyClaim)
}

/**
 * The right to act alone.
 *
 * @property token fencing token: higher than that of every earlier claim
 * @property leaseId lease that the claim ends with
 * @property ttl time from a renewal to the end
 * @property validUntil when the claim ends unless it is renewed, on this instance's clock
 */
data class DutyClaim(
    val token: Long,
    val leaseId: Long,
    val ttl: Duration,
    val validUntil: ComparableTimeMark
)

/** What became of a claim. */
sealed interface ClaimOutcome {
    /** The duty is this instance's. */
    data class Claimed(val claim: DutyClaim) : ClaimOutcome

    /** Another instance has it. */
    data class HeldBy(val holder: String) : ClaimOutcome

    /** The store did not say. */
    data class Unavailable(val detail: String) : ClaimOutcome
}
