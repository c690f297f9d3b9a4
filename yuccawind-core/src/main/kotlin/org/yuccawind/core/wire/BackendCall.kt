package org.yuccawind.core.wire

import kotlinx.serialization.Serializable
import org.yuccawind.core.port.Command

/**
 * Wire format of one command on a connection.
 *
 * @property correlation number that the answer echoes; never reused
 * @property command command to run
 */
@Serializable
data class BackendCall(val correlation: Long, val command: Command)

/** Request body of a fence or promote call. */
@Serializable
data class TermCall(val term: Long)
