package org.yuccawind.core.evidence

import io.kotest.matchers.shouldBe
import kotlin.time.TestTimeSource
import org.junit.jupiter.api.Test
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServerRole
import org.yuccawind.core.model.ServerStatus

class ProbeRoundTest {
    private val start = TestTimeSource().markNow()

    @Test
    fun `a primary whose fencing token a majority reports yields a certificate`() {
        val round = round(primary(2, 9), replica(2, 7))
        round.certificate(2)?.end shouldBe LogPoint(2, 9)
    }

    @Test
    fun `a replaced primary yields no certificate`() {
        round(primary(2, 9), replica(3, 7), replica(3, 8)).certificate(2) shouldBe null
    }

    @Test
    fun `a primary fenced at a later term without promotion yields no certificate`() {
        val fenced = ServerStatus(3, LogPoint(2, 9), ServerRole.PRIMARY)
        round(fenced, replica(3, 7)).certificate(2) shouldBe null
    }

    private fun primary(term: Long, position: Long) =
        ServerStatus(term, LogPoint(term, position), ServerRole.PRIMARY)

    private fun replica(fence: Long, position: Long) =
        ServerStatus(fence, LogPoint(2, position), ServerRole.REPLICA)

    private fun round(vararg statuses: ServerStatus) = ProbeRound(
        start,
        statuses.withIndex().associate { BackendServerName("db-${it.index}") to it.value }
    )
}
