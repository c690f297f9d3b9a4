package org.yuccawind.core.group

import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.junit.jupiter.api.Test
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServerRole
import org.yuccawind.core.model.ServiceName

class RegistryViewTest {
    private val time = TestTimeSource()
    private val view = RegistryView(time)

    @Test
    fun `registrations that expired during an outage are kept for two seconds after it`() {
        view.onRead(1, listOf(server("a"), server("b")))
        time += 5.seconds
        view.onFailure()
        view.isCurrent shouldBe false
        view.onRead(2, listOf(server("a")))
        names() shouldBe setOf("a", "b")
        time += 1.seconds
        view.onRead(3, listOf(server("a")))
        names() shouldBe setOf("a", "b")
        time += 2.seconds
        view.onRead(4, listOf(server("a")))
        names() shouldBe setOf("a")
    }

    @Test
    fun `a server that deregisters while the platform is readable is removed immediately`() {
        view.onRead(1, listOf(server("a"), server("b")))
        repeat(4) {
            time += 1.seconds
            view.onRead(2, listOf(server("a"), server("b")))
        }
        view.onRead(3, listOf(server("a")))
        names() shouldBe setOf("a")
    }

    @Test
    fun `a read at an older revision is ignored`() {
        view.onRead(5, listOf(server("a")))
        view.onRead(4, listOf(server("b")))
        names() shouldBe setOf("a")
    }

    @Test
    fun `registrations are not current after three seconds without a read`() {
        view.isCurrent shouldBe false
        view.onRead(1, emptyList())
        view.isCurrent shouldBe true
        time += 3.seconds
        view.isCurrent shouldBe false
    }

    private fun names() = view.registrations.map { it.member.name.value }.toSet()

    private fun server(name: String) = Registration(
        ServiceName("s"),
        GroupMember(
            name = BackendServerName(name),
            address = "127.0.0.1:1",
            zone = AvailabilityZone("z"),
            role = ServerRole.REPLICA,
            slots = 2,
            isLeaving = false,
            startedAtMs = 0
        )
    )
}
