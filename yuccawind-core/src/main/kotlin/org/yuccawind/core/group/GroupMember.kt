package org.yuccawind.core.group

import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServerRole

/**
 * A backend server as its registration describes it.
 *
 * @property name its identity
 * @property address IP number and port
 * @property zone its availability zone
 * @property role the role that the server sees itself in
 * @property slots statements that it runs at once
 * @property isLeaving true once it has announced that it goes
 * @property startedAtMs start of its process in Unix milliseconds; 0 when it told none. A server
 *   may start again under the same name, with another log.
 */
data class GroupMember(
    val name: BackendServerName,
    val address: String,
    val zone: AvailabilityZone,
    val role: ServerRole,
    val slots: Int,
    val isLeaving: Boolean,
    val startedAtMs: Long
) {
    /** True when [other] is the same process at the same place. */
    fun isSameProcess(other: GroupMember) =
        name == other.name && address == other.address && startedAtMs == other.startedAtMs
}
