package org.yuccawind.core.membership

import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.InstanceId

/** A live instance and its availability zone. */
data class Member(val instance: InstanceId, val zone: AvailabilityZone)
