package org.yuccawind.core.group

import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServerRole

/**
 * A backend server as its registration describes it.
 *
 * @property name unique name of the server
 * @property address IP address and port
 * @property zone its availability zone
 * @property role role that the server reports for itself
 * @property slots number of statements that it runs concurrently
 * @property isLeaving true once it has announced its shutdown
 * @property startedAtMs start of its process in Unix milliseconds, or 0 if not reported. A server
 *   may restart under the same name with a different log.
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
    /** Returns true if [other] is the same process at the same address. */
    fun isSameProcess(other: GroupMember) =
        name == other.name && address == other.address && startedAtMs == other.startedAtMs

    /**
     * Returns true if this describes a later state of the server than [other] does. A process that
     * has announced its shutdown does not take this back.
     */
    fun isNewerThan(other: GroupMember) = startedAtMs > other.startedAtMs ||
        (isSameProcess(other) && isLeaving && !other.isLeaving)
}
