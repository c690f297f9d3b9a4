package org.yuccawind.core.fleet

import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.yuccawind.core.group.ServerGroup
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.peer.PeerMessage

/** Time for finding a proof; what the other side waits for a reply is longer. */
private val PROOF_PATIENCE = 100.milliseconds

/** Questions in progress beyond which the next one is refused at once. */
private const val MAX_QUESTIONS = 128

/** Answers other instances' questions about primaries. Confined to the event loop. */
class ProofDesk(
    private val groups: (ServiceName) -> ServerGroup?,
    private val time: TimeSource.WithComparableMarks
) {
    private var inProgress = 0

    /** The reply to [wanted]. */
    suspend fun answer(wanted: PeerMessage.ProofWanted): PeerMessage {
        val group = groups(wanted.service) ?: return PeerMessage.NoProof
        if (inProgress >= MAX_QUESTIONS) return PeerMessage.NoProof
        inProgress++
        try {
            return find(group, wanted)
        } finally {
            inProgress--
        }
    }

    private suspend fun find(group: ServerGroup, wanted: PeerMessage.ProofWanted): PeerMessage {
        val askedAt = time.markNow()
        val since = askedAt - wanted.maxAgeUs.microseconds
        val proof = group.ownProofSince(since, PROOF_PATIENCE) ?: return PeerMessage.NoProof
        val certificate = proof.certificate
        val isLater = certificate.since >= askedAt
        return PeerMessage.Proof(
            server = certificate.primary,
            end = certificate.end,
            floor = proof.floor,
            // Rounded up: a proof may look older than it is, not younger.
            ageUs = if (isLater) null else certificate.since.elapsedNow().inWholeMicroseconds + 1
        )
    }
}
