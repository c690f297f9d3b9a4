package org.yuccawind.core.client

import org.yuccawind.core.group.GroupServer
import org.yuccawind.core.link.PooledLink

/** A link acquired from the pool of [server] for the duration of a transaction. */
internal data class LinkLease(val server: GroupServer, val link: PooledLink)
