package org.yuccawind.core.workspace

/**
 * Workspaces of one configuration and the keys of their clients.
 *
 * @property byName the workspaces by name
 * @param keys workspace of each key
 * @property areRequired true if clients need a key; false for a configuration without workspaces
 */
class Workspaces(
    val byName: Map<WorkspaceName, Workspace>,
    private val keys: Map<AccessKey, WorkspaceName>,
    val areRequired: Boolean
) {

    /**
     * Returns the caller that presents [key]. Without a known key this is an anonymous caller if
     * [allowsAnonymous] or if no key is required, and otherwise null.
     */
    fun callerOf(key: AccessKey?, allowsAnonymous: Boolean): Caller? {
        val workspace = key?.let(keys::get)?.let(byName::get)
        return when {
            workspace != null -> Caller.Member(workspace)
            allowsAnonymous || !areRequired -> Caller.Anonymous
            else -> null
        }
    }

    companion object {
        /** No workspaces. */
        val NONE = Workspaces(emptyMap(), emptyMap(), areRequired = false)
    }
}

/** Who sends an operation. */
sealed interface Caller {
    /** Workspace whose connections run the operation; null for connections without one. */
    val workspace: WorkspaceName?

    /** Priority of the caller's workspace; 0 is the highest. */
    val priority: Int

    /** A client of [definition]. */
    data class Member(val definition: Workspace) : Caller {
        override val workspace get() = definition.name
        override val priority get() = definition.priority
    }

    /** A client without a key, or the proxy itself. */
    data object Anonymous : Caller {
        override val workspace: WorkspaceName? get() = null
        override val priority get() = 0
    }
}
