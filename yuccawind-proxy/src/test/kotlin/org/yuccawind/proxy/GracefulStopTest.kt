package org.yuccawind.proxy

import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Test

class GracefulStopTest {
    private val fixture = DaemonFixture()

    @Test
    fun `a request in progress completes after the instance has become not ready`() =
        runBlocking<Unit> {
            fixture.startWithOrders()
            val body = """{"statement":"get k","deadlineMs":2000}"""
            val request = fixture.callers.post("/v1/services/orders/read", body).aggregate()
            withTimeout(10_000) { while (fixture.daemon.pending == 0) delay(5) }
            val stop = async { fixture.stop() }
            withTimeout(2_000) { while (fixture.daemon.pending == 1 && isReady()) delay(5) }
            fixture.daemon.pending shouldBe 1
            isReady() shouldBe false
            request.await().contentUtf8() shouldContain "2001"
            stop.await()
        }

    private suspend fun isReady() = fixture.readiness() == 200
}
