package org.yuccawind.core.group

import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServerRole

/**
 * How a backend server says that it stands.
 *
 * @property role the role that it sees itself in
 * @property received end of the log that it has received, applied or not
 * @property heldTerm term below which it receives nothing; 0 for none
 */
data class ServerReport(val role: ServerRole, val received: LogPoint, val heldTerm: Long)
