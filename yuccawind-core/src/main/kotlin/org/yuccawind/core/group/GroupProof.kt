package org.yuccawind.core.group

import org.yuccawind.core.evidence.Certificate
import org.yuccawind.core.model.LogPoint

/**
 * A proof that a server leads, with what another instance needs to go on from it.
 *
 * @property certificate the proof
 * @property floor end of what the server had received when it took the lead
 */
data class GroupProof(val certificate: Certificate, val floor: LogPoint)
