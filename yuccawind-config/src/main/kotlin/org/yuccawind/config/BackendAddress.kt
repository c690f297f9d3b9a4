package org.yuccawind.config

private val PORTS = 1..65_535
private val IPV6 = Regex("\\[[0-9a-fA-F:.]*:[0-9a-fA-F:.]*]")
private const val IPV4_PARTS = 4
private val IPV4_PART = 0..255

/** Validates the address of a backend server: an IP address and a port. */
internal object BackendAddress {
    /** Returns the reason why [address] is invalid, or null when it is valid. */
    fun validate(address: String): String? {
        val host = address.substringBeforeLast(':', "")
        val port = address.substringAfterLast(':', "").toIntOrNull()
        return when {
            !isIpAddress(host) -> "found '$address', expected an IP number and a port"
            port == null || port !in PORTS -> "found '$address', allowed ports 1 to 65535"
            else -> null
        }
    }

    private fun isIpAddress(host: String): Boolean {
        if (IPV6.matches(host)) return true
        val parts = host.split('.')
        return parts.size == IPV4_PARTS && parts.all { part ->
            part.all(Char::isDigit) && part.toIntOrNull()?.let { it in IPV4_PART } == true
        }
    }
}
