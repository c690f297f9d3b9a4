package org.yuccawind.core.group

import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.junit.jupiter.api.Test
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.ServerRole
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.model.StoreRevision

class RegistryViewTest {
    private val time = TestTimeSource()
    private val view = RegistryView(time)

    @Test
    fun `registrations that expired during an outage are kept for two seconds after it`() {
        view.onRead(revision(1), listOf(server("a"), server("b")))
        time += 5.seconds
        view.onFailure()
        view.isCurrent shouldBe false
        view.onRead(revision(2), listOf(server("a")))
        names() shouldBe setOf("a", "b")
        time += 1.seconds
        view.onRead(revision(3), listOf(server("a")))
        names() shouldBe setOf("a", "b")
        time += 2.seconds
        view.onRead(revision(4), listOf(server("a")))
        names() shouldBe setOf("a")
    }

    @Test
    fun `a server that deregisters while the platform is readable is removed immediately`() {
        view.onRead(revision(1), listOf(server("a"), server("b")))
        repeat(4) {
            time += 1.seconds
            view.onRead(revision(2), listOf(server("a"), server("b")))
        }
        view.onRead(revision(3), listOf(server("a")))
        names() shouldBe setOf("a")
    }

    @Test
    fun `a read at an older revision is ignored`() {
        view.onRead(revision(5), listOf(server("a")))
        view.onRead(revision(4), listOf(server("b")))
        names() shouldBe setOf("a")
    }

    @Test
    fun `registrations are not current after three seconds without a read`() {
        view.isCurrent shouldBe false
        view.onRead(revision(1), emptyList())
        view.isCurrent shouldBe true
        time += 3.seconds
        view.isCurrent shouldBe false
    }

    @Test
    fun `a read at a lower revision of a restored store is applied`() {
        view.onRead(revision(50), listOf(server("a")))
        view.onRead(StoreRevision(era = 2, number = 4), listOf(server("a"), server("b")))
        names() shouldBe setOf("a", "b")
        view.onRead(revision(60), listOf(server("c")))
        names() shouldBe setOf("a", "b")
    }

    @Test
    fun `servers that a restored store does not list yet are kept for two seconds`() {
        view.onRead(revision(50), listOf(server("a"), server("b")))
        time += 1.seconds
        view.onRead(StoreRevision(era = 2, number = 4), listOf(server("a")))
        names() shouldBe setOf("a", "b")
        repeat(3) {
            time += 1.seconds
            view.onRead(StoreRevision(era = 2, number = 5), listOf(server("a")))
        }
        names() shouldBe setOf("a")
    }

    @Test
    fun `a restored store does not take back a shutdown or a restart of a server`() {
        val leaving = server("a", isLeaving = true)
        val restarted = server("b", startedAtMs = 2)
        view.onRead(revision(50), listOf(leaving, restarted))
        val copy = listOf(server("a"), server("b", startedAtMs = 1))
        view.onRead(StoreRevision(era = 2, number = 4), copy)
        view.registrations shouldBe listOf(leaving, restarted)
    }

    private fun revision(number: Long) = StoreRevision(era = 1, number)

    private fun names() = view.registrations.map { it.member.name.value }.toSet()

    private fun server(name: String, isLeaving: Boolean = false, startedAtMs: Long = 0) =
        Registration(
            ServiceName("s"),
            GroupMember(
                name = BackendServerName(name),
                address = "127.0.0.1:1",
                zone = AvailabilityZone("z"),
                role = ServerRole.REPLICA,
                slots = 2,
                isLeaving = isLeaving,
                startedAtMs = startedAtMs
            )
        )
}
