package org.yuccawind.core.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccawind.core.failover.HandoverNotifier
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.core.port.PeerClient
import org.yuccawind.core.service.ServiceDirectory

private val REPLY_TIMEOUT = 100.milliseconds
private val MAX_HOLD_DURATION = 1_000.milliseconds

/** Sends and handles requests to hold new writes during a hand-over. */
class WriteHolds(
    private val membership: Membership,
    private val peers: PeerClient,
    private val directory: () -> ServiceDirectory
) : HandoverNotifier {
    override suspend fun requestHold(
        service: ServiceName,
        primary: BackendServerName,
        duration: Duration
    ) {
        val message = PeerMessage.HoldWrites(service, primary, duration.inWholeMilliseconds)
        withTimeoutOrNull(REPLY_TIMEOUT) {
            coroutineScope {
                for (peer in membership.peers()) launch { peers.call(peer.peerAddress, message) }
            }
        }
    }

    /** Holds new writes as requested by a peer, for at most 1 s. */
    fun handle(message: PeerMessage.HoldWrites): PeerMessage {
        val duration = message.forMs.milliseconds.coerceIn(Duration.ZERO, MAX_HOLD_DURATION)
        directory().find(message.service)?.context?.gate?.hold(message.primary, duration)
        return PeerMessage.Done
    }
}
