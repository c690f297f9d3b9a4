package org.yuccawind.core.session

import io.kotest.common.ExperimentalKotest
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.of
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServiceName
import org.yuccawind.core.result.ResultCode

class SessionTokenTest {
    private val points = Arb.bind(Arb.long(0L..9L), Arb.long(0L..99L), ::LogPoint)
    private val names = Arb.of("pairing", "routing", "stock").let { Arb.bind(it, it) { a, _ -> a } }
    private val steps = Arb.list(Arb.bind(names, points) { a, b -> ServiceName(a) to b }, 0..20)

    @OptIn(ExperimentalKotest::class)
    @Test
    fun `encoding and decoding preserve a token and advancing never lowers a point`() = runTest {
        checkAll(PropTestConfig(seed = 4101), steps) { updates ->
            var token = SessionToken()
            for ((service, point) in updates) {
                val before = token.pointOf(service)
                token = token.advance(service, point)
                token.pointOf(service) shouldBe maxOf(before, point)
            }
            SessionToken.decode(token.encode()).getOrNull() shouldBe token
        }
    }

    @Test
    fun `a malformed token is refused with BAD_SESSION`() {
        for (text in listOf("x", "a=1", "=1.2", "a=-1.2", "a=1.2,", "a=1.2".repeat(2_000))) {
            SessionToken.decode(text).leftOrNull()?.code shouldBe ResultCode.BAD_SESSION
        }
    }
}
