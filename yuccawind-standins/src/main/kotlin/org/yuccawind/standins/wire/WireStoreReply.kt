package org.yuccawind.standins.wire

/**
 * Reply of a [WireStore].
 *
 * @property status HTTP status code
 * @property text JSON body, or empty
 * @property headers additional response headers
 */
data class WireStoreReply(val status: Int, val text: String, val headers: Map<String, String>)
