package org.yuccawind.core.failover

import kotlin.time.Duration
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServiceName

/** Asks the other instances to hold new writes during a hand-over. Best effort. */
fun interface HandoverNotifier {
    /**
     * Asks the peers to hold new writes to [primary] for [duration]. Returns once all have replied
     * or the time for replies has passed.
     */
    suspend fun requestHold(service: ServiceName, primary: BackendServerName, duration: Duration)

    companion object {
        /** Sends no requests. */
        val NONE = HandoverNotifier { _, _, _ -> }
    }
}
