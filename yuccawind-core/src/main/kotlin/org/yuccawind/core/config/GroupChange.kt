package org.yuccawind.core.config

import org.yuccawind.core.result.Refusal
import org.yuccawind.core.result.ResultCode

/**
 * Limits a configuration change to one added or removed member of a database group.
 *
 * Adding or removing one member keeps majorities overlapping: every majority of the old group
 * shares a member with every majority of the new group. Changing two members breaks this: {a, b} of
 * {a, b, c} and {c, d} of {a, c, d} share no member, so a promotion could miss an acknowledged
 * write.
 */
object GroupChange {
    /** Returns the refusal of the change from [before] to [after], or null if it is allowed. */
    fun refusal(before: ServiceConfig?, after: ServiceConfig?): Refusal? {
        if (before == null || after == null) return null
        val old = members(before)
        val new = members(after)
        val changed = (old - new) + (new - old)
        if (changed.size <= 1) return null
        val names = changed.map { it.substringBefore('@') }.distinct().sorted()
        return Refusal(
            ResultCode.CONFIG_GROUP_CHANGE,
            "service ${after.name}: ${names.joinToString(
                ", "
            )} would change together; majorities " +
                "before and after must share a server, so add or remove one server at a time"
        )
    }

    /** True if [before] and [after] have the same servers at the same addresses. */
    fun isSameGroup(before: ServiceConfig, after: ServiceConfig) = members(before) == members(after)

    // A server at a new address may have a different log, so it counts as one removal plus one
    // addition.
    private fun members(config: ServiceConfig) =
        config.backendServers.map { "${it.name}@${it.address}" }.toSet()
}
