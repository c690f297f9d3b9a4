package org.yuccawind.core.client

import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import org.yuccawind.core.statement.Access
import org.yuccawind.core.statement.PreparedShape

class ClientSessionStateTest {
    @Test
    fun `variables and prepared statements share a limit of bytes`() {
        val state = ClientSessionState(SessionStateLimit(bytes = 20L + 2 * ENTRY_BYTES, names = 10))
        state.set("a", "x".repeat(9)) shouldBe true
        state.prepare("b", PreparedShape(Access.READ, "y".repeat(10))) shouldBe false
        state.prepare("b", PreparedShape(Access.READ, "y".repeat(9))) shouldBe true
        state.set("a", "x".repeat(10)) shouldBe false
        state.set("a", "z") shouldBe true
        state.bytes shouldBe 12 + 2 * ENTRY_BYTES
        state.deallocate("b") shouldBe true
        state.bytes shouldBe 2 + ENTRY_BYTES
    }

    @Test
    fun `a name that exists can be replaced at the limit of names`() {
        val state = ClientSessionState(SessionStateLimit(bytes = 100L + ENTRY_BYTES, names = 1))
        state.set("a", "1") shouldBe true
        state.set("b", "1") shouldBe false
        state.set("a", "2") shouldBe true
        state.variables.values shouldBe mapOf("a" to "2")
    }
}
