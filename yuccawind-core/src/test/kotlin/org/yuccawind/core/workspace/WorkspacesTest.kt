package org.yuccawind.core.workspace

import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import org.junit.jupiter.api.Test

class WorkspacesTest {
    private val workspace = Workspace(WorkspaceName("bikes"), priority = 1)
    private val workspaces = Workspaces(
        mapOf(workspace.name to workspace),
        mapOf(AccessKey("k1") to workspace.name, AccessKey("k2") to workspace.name),
        areRequired = true
    )

    @Test
    fun `each key of a workspace identifies it`() {
        for (key in listOf("k1", "k2")) {
            val caller = workspaces.callerOf(AccessKey(key), allowsAnonymous = false)
            caller shouldBe Caller.Member(workspace)
        }
    }

    @Test
    fun `an unknown or missing key is refused unless anonymous callers are allowed`() {
        workspaces.callerOf(AccessKey("other"), allowsAnonymous = false) shouldBe null
        workspaces.callerOf(null, allowsAnonymous = false) shouldBe null
        workspaces.callerOf(null, allowsAnonymous = true) shouldBe Caller.Anonymous
    }

    @Test
    fun `a configuration without workspaces needs no key`() {
        Workspaces.NONE.callerOf(AccessKey("any"), allowsAnonymous = false) shouldBe
            Caller.Anonymous
    }

    @Test
    fun `without any usable workspace all keys are refused`() {
        val none = Workspaces(emptyMap(), emptyMap(), areRequired = true)
        none.callerOf(AccessKey("k1"), allowsAnonymous = false) shouldBe null
    }

    @Test
    fun `the text of a key does not contain the key`() {
        "${AccessKey("secret-of-bikes")}" shouldNotContain "secret"
    }
}
