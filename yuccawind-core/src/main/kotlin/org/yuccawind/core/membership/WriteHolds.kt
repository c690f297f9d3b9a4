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

private val REPLY_LIMIT = 100.milliseconds
private val GREATEST_HOLD = 1_000.milliseconds

/** Exchanges requests to hold writes back during a handover. */
class WriteHolds(
    private val membership: Membership,
    private val peers: PeerClient,
    private val directory: () -> ServiceDirectory
) : HandoverNotifier {
    override suspend fun hold(
        service: ServiceName,
        primary: BackendServerName,
        duration: Duration
    ) {
        val message = PeerMessage.HoldWrites(service, primary, duration.inWholeMilliseconds)
        withTimeoutOrNull(REPLY_LIMIT) {
            coroutineScope {
                for (peer in membership.peers()) launch { peers.call(peer.peerAddress, message) }
            }
        }
    }

    /** Holds back what a peer asked for. */
    fun handle(message: PeerMessage.HoldWrites): PeerMessage {
        val duration = message.forMs.milliseconds.coerceIn(Duration.ZERO, GREATEST_HOLD)
        directory().find(message.service)?.context?.gate?.hold(message.primary, duration)
        return PeerMessage.Done
    }
}
