package org.yuccawind.core.group

import org.yuccawind.core.model.ServiceName

/**
 * Registration of a backend server for a service.
 *
 * @property service service that the server belongs to
 * @property member the registered server
 */
data class Registration(val service: ServiceName, val member: GroupMember)
