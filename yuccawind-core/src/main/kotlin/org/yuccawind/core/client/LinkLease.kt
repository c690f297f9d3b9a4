package org.yuccawind.core.client

import org.yuccawind.core.group.GroupServer
import org.yuccawind.core.link.PooledLink

/** A link taken from the pool of [server] for the length of a transaction. */
internal data class LinkLease(val server: GroupServer, val link: PooledLink)
