package org.yuccawind.proxy.caller

import io.netty.channel.EventLoop
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher

/** Caches one scope per event loop, so that requests do not create dispatchers. */
internal class EventLoopScopes {
    private val scopes = ConcurrentHashMap<EventLoop, CoroutineScope>()

    /** Returns the scope whose coroutines run on [loop]. */
    fun of(loop: EventLoop): CoroutineScope = scopes.computeIfAbsent(loop) {
        CoroutineScope(SupervisorJob() + it.asCoroutineDispatcher())
    }
}
