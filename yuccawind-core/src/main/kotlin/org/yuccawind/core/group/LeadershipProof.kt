package org.yuccawind.core.group

import org.yuccawind.core.evidence.Certificate
import org.yuccawind.core.model.LogPoint

/**
 * A proof that a server is the primary, in the form that is passed to other instances.
 *
 * @property certificate server, end of its log, and time from which the proof holds
 * @property floor end of the log that the server had received when it became primary. Its log
 *   is complete once applied up to this point.
 */
data class LeadershipProof(val certificate: Certificate, val floor: LogPoint)
