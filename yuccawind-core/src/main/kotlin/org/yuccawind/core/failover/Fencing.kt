package org.yuccawind.core.failover

import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServerStatus
import org.yuccawind.core.port.BackendServer

/** Fences the servers of a group and returns as soon as a majority is fenced. */
internal class Fencing(private val group: PromotionGroup) {
    /**
     * Fences the servers at [term] and returns the status of each server fenced at exactly [term].
     * Fencing failed if the result has fewer entries than a majority.
     */
    suspend fun fence(term: Long): Map<BackendServerName, ServerStatus> = coroutineScope {
        val answers = Channel<FenceAnswer>(group.servers.size)
        for (server in group.servers.values) launch { answers.send(fenceServer(server, term)) }
        val fenced = HashMap<BackendServerName, ServerStatus>()
        var pending = group.servers.size
        while (pending > 0 && fenced.size < group.majority) {
            val answer = answers.receive()
            pending--
            if (answer.status?.fence == term) fenced[answer.server] = answer.status
        }
        coroutineContext.cancelChildren()
        fenced
    }

    private suspend fun fenceServer(server: BackendServer, term: Long) =
        FenceAnswer(server.name, server.fence(term).getOrNull())

    private class FenceAnswer(val server: BackendServerName, val status: ServerStatus?)
}
