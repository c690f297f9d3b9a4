package org.yuccawind.core.membership

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.yuccawind.core.config.RecordGossip
import org.yuccawind.core.peer.PeerHandler
import org.yuccawind.core.peer.PeerMessage

/**
 * Message exchange with the other instances: heartbeats, the instance list, write holds and service
 * records.
 */
class PeerExchange(
    private val heartbeats: Heartbeats,
    private val lists: InstanceListReader,
    private val holds: WriteHolds,
    private val records: RecordGossip
) : PeerHandler {
    /** Runs the periodic exchanges until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        launch { lists.run() }
        launch { records.run() }
        heartbeats.run()
    }

    override suspend fun handle(message: PeerMessage): PeerMessage = when (message) {
        is PeerMessage.Heartbeat -> heartbeats.handle(message)
        is PeerMessage.ListWanted -> lists.handle(message)
        is PeerMessage.HoldWrites -> holds.handle(message)
        else -> records.handle(message) ?: PeerMessage.Done
    }
}
