package org.yuccawind.core.primary

import kotlin.time.Duration

/**
 * Snapshot of the observations on which the decision to change a primary is based.
 *
 * @property silence time without a proof of leadership
 * @property isLeaving true if the primary has announced its shutdown
 * @property hasSuccessor true if another server exists that is not shutting down
 * @property hasSeenPrimary true if this instance has seen a primary of the group
 * @property registryReadableFor time for which the registrations have been readable
 *   without interruption
 * @property isRegistered true while the primary is registered, or may be
 * @property areRegistrationsCurrent true if the registrations are not stale
 * @property isAnswering true if no request to the last primary has failed since its newest answer
 * @property isDenying true if the last primary recently denied that it is the primary
 * @property suspicionShare share of the homes that the primary does not answer, from 0 to 1
 * @property denials number of servers that recently denied being the primary
 * @property registered number of registered servers
 * @property hasPausedReplicas true if a replica is paused, which a change of primary does
 */
data class PrimaryFacts(
    val silence: Duration,
    val isLeaving: Boolean,
    val hasSuccessor: Boolean,
    val hasSeenPrimary: Boolean,
    val registryReadableFor: Duration,
    val isRegistered: Boolean,
    val areRegistrationsCurrent: Boolean,
    val isAnswering: Boolean,
    val isDenying: Boolean,
    val suspicionShare: Double,
    val denials: Int,
    val registered: Int,
    val hasPausedReplicas: Boolean
)
