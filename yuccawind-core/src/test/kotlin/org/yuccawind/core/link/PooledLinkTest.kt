package org.yuccawind.core.link

import arrow.core.Either
import arrow.core.right
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlin.time.TimeSource
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.yuccawind.core.group.GroupMember
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServerRole
import org.yuccawind.core.statement.Access
import org.yuccawind.core.statement.PreparedShape
import org.yuccawind.core.statement.SessionState
import org.yuccawind.core.statement.StatementResult

class PooledLinkTest {
    private val link = PooledLink(MEMBER, ConfirmingLink, TimeSource.Monotonic)
    private val values = SessionVariables(mapOf("tenant" to "t1"))
    private val settingValues = listOf(LinkCommand.SetValue("tenant", "t1"))
    private val shape = PreparedShape(Access.READ, "q1")

    @Test
    fun `values that were sent are not sent again`() = runTest {
        link.exchange(link.commandsToApply(values) + LinkCommand.Forward("1", "READ k"))
        link.commandsToApply(values).shouldBeEmpty()
    }

    @Test
    fun `values that were never sent are not taken for those of the server`() = runTest {
        link.commandsToApply(values) shouldBe settingValues
        link.commandsToApply(values) shouldBe listOf(LinkCommand.Reset) + settingValues
    }

    @Test
    fun `a health check does not stand for values that were never sent`() = runTest {
        link.commandsToApply(values)
        link.exchange(listOf(LinkCommand.Rollback))
        link.commandsToApply(values) shouldBe listOf(LinkCommand.Reset) + settingValues
    }

    @Test
    fun `a shape that was never sent is prepared before it is executed`() = runTest {
        val prepare = link.preparation(shape).commands
        link.commandsToApply(SessionVariables.EMPTY) shouldBe listOf(LinkCommand.Reset)
        link.preparation(shape).commands.map { it::class } shouldBe prepare.map { it::class }
    }

    @Test
    fun `a reset that was never sent is sent the next time`() = runTest {
        link.exchange(link.commandsToApply(values))
        link.commandsToApply(SessionVariables.EMPTY) shouldBe listOf(LinkCommand.Reset)
        link.commandsToApply(SessionVariables.EMPTY) shouldBe listOf(LinkCommand.Reset)
    }

    @Test
    fun `values and a shape sent in one batch are known`() = runTest {
        val commands = link.commandsToApply(values) + link.preparation(shape).commands
        link.exchange(commands)
        link.commandsToApply(values).shouldBeEmpty()
        link.preparation(shape).commands.shouldBeEmpty()
    }

    /** Confirms every command. */
    private object ConfirmingLink : ServerLink {
        override val isOpen = true
        override val initialPosition: LogPoint? = null

        override suspend fun exchange(
            commands: List<LinkCommand>
        ): Either<LinkLost, List<LinkReply>> = commands
            .map { LinkReply(emptyList(), StatementResult.Done(null), SessionState.IDLE, null) }
            .right()

        override fun close() = Unit
    }

    private companion object {
        val MEMBER = GroupMember(
            name = BackendServerName("a"),
            address = "127.0.0.1:1",
            zone = AvailabilityZone("z"),
            role = ServerRole.PRIMARY,
            slots = 2,
            isLeaving = false,
            startedAtMs = 0
        )
    }
}
