package org.yuccawind.core.wire

/** Request header with the availability zone of the calling instance. */
const val ZONE_HEADER = "yuccawind-zone"

/** Request and response header with the session token. */
const val SESSION_HEADER = "yuccawind-session"

/** Request header with the operator's access key. */
const val OPERATOR_KEY_HEADER = "yuccawind-key"
