package org.yuccawind.core.client

import org.yuccawind.core.group.GroupServer
import org.yuccawind.core.link.PooledLink

/** The connection that a transaction holds. */
internal data class Pin(val server: GroupServer, val link: PooledLink)
