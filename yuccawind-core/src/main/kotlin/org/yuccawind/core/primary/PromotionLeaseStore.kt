package org.yuccawind.core.primary

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import org.yuccawind.core.model.StoreRevision

/** Bits of a fencing token that hold the number of the revision. */
private const val REVISION_NUMBER_BITS = 40

/** Store for the lease that lets only one instance at a time change primaries. */
interface PromotionLeaseStore {
    /** Requests the lease for at least [ttl], counted from before the request is sent. */
    suspend fun claim(ttl: Duration): ClaimOutcome

    /** Renews [lease]. Returns null if it has expired or the store did not answer. */
    suspend fun renew(lease: PromotionLease): PromotionLease?

    /**
     * Returns [lease] with a higher fencing token, or null if it has expired or the store did not
     * answer.
     */
    suspend fun raiseToken(lease: PromotionLease): PromotionLease?

    /** Returns true if the store was restored since [lease] was granted, and so has lost it. */
    fun isLost(lease: PromotionLease): Boolean

    /** Ends [lease] before it expires. */
    suspend fun release(lease: PromotionLease)
}

/**
 * Exclusive right to change primaries, limited in time.
 *
 * @property revision store revision at which it was granted or its token was last raised
 * @property leaseId id of the lease in the store
 * @property ttl time from a renewal to expiry
 * @property validUntil expiry unless renewed, by this instance's clock
 */
data class PromotionLease(
    val revision: StoreRevision,
    val leaseId: Long,
    val ttl: Duration,
    val validUntil: ComparableTimeMark
) {
    /**
     * Fencing token, higher than that of every earlier lease. It begins with the era, since a
     * restored store issues revision numbers again.
     */
    val token: Long get() = (revision.era shl REVISION_NUMBER_BITS) + revision.number

    /** Returns true if [other] is the same lease, perhaps renewed or with another token. */
    fun isSameAs(other: PromotionLease) =
        leaseId == other.leaseId && revision.era == other.revision.era
}

/** Outcome of a request for the lease. */
sealed interface ClaimOutcome {
    /** This instance holds the lease. */
    data class Claimed(val claim: PromotionLease) : ClaimOutcome

    /** Another instance holds the lease. */
    data class HeldBy(val holder: String) : ClaimOutcome

    /** The store did not answer or failed. */
    data class Unavailable(val detail: String) : ClaimOutcome
}
