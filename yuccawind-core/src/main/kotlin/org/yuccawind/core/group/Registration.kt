package org.yuccawind.core.group

import org.yuccawind.core.model.ServiceName

/**
 * A backend server and the service that it belongs to.
 *
 * @property service its service
 * @property member what is registered of it
 */
data class Registration(val service: ServiceName, val member: GroupMember)
