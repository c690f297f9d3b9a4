package org.yuccawind.core.primary

import kotlin.time.Duration

/**
 * What the decision to change a primary rests on, at one moment.
 *
 * @property silence time since a server last proved that it leads
 * @property isLeaving true when the primary has announced that it goes
 * @property hasSuccessor true when another server stays
 * @property isKnown true when this instance has seen a server of the group lead
 * @property listedFor time since the registrations could be read without a pause
 * @property isRegistered true while the primary is registered, or may be
 * @property areRegistrationsCurrent true when the registrations were read lately
 * @property isAnswering true unless the last primary failed to answer since its last answer
 * @property doubtShare part of the homes that the primary does not answer
 * @property denials servers that answered lately that they do not lead
 * @property registered servers registered
 */
data class PrimaryFacts(
    val silence: Duration,
    val isLeaving: Boolean,
    val hasSuccessor: Boolean,
    val isKnown: Boolean,
    val listedFor: Duration,
    val isRegistered: Boolean,
    val areRegistrationsCurrent: Boolean,
    val isAnswering: Boolean,
    val doubtShare: Double,
    val denials: Int,
    val registered: Int
)
