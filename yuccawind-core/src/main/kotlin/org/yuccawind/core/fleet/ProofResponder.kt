package org.yuccawind.core.fleet

import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.yuccawind.core.group.ServerGroup
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.peer.PeerMessage

/** Timeout for finding a proof; shorter than the timeout of the requesting instance. */
private val PROOF_TIMEOUT = 100.milliseconds

/** Number of requests in progress above which further ones are refused immediately. */
private const val MAX_REQUESTS_IN_PROGRESS = 128

/** Answers requests of other instances for proofs of leadership. Confined to the event loop. */
class ProofResponder(
    private val groups: (ServiceName) -> ServerGroup?,
    private val time: TimeSource.WithComparableMarks
) {
    private var inProgress = 0

    /** Returns the reply to [request]. */
    suspend fun answer(request: PeerMessage.ProofWanted): PeerMessage {
        val group = groups(request.service) ?: return PeerMessage.NoProof
        request.load?.let(group::receiveLoad)
        if (inProgress >= MAX_REQUESTS_IN_PROGRESS) return PeerMessage.NoProof
        inProgress++
        try {
            return findProof(group, request)
        } finally {
            inProgress--
        }
    }

    private suspend fun findProof(
        group: ServerGroup,
        request: PeerMessage.ProofWanted
    ): PeerMessage {
        val receivedAt = time.markNow()
        val since = receivedAt - request.maxAgeUs.microseconds
        val proof = group.localProofSince(since, PROOF_TIMEOUT) ?: return PeerMessage.NoProof
        val certificate = proof.certificate
        val isLater = certificate.since >= receivedAt
        return PeerMessage.Proof(
            server = certificate.primary,
            end = certificate.end,
            floor = proof.floor,
            // Rounded up: a proof may look older than it is, but never newer.
            ageUs = if (isLater) null else certificate.since.elapsedNow().inWholeMicroseconds + 1,
            load = if (request.load == null) emptyList() else group.loadViews()
        )
    }
}
